import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { StageDefinition } from "../forward/stage-definition.js";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";

/**
 * Throws `NoUpstream` if all upstreams of a stage that a request has pieces for are evacuated; its
 * pieces would wait until the deadline. `pieces` holds the number of pieces of each stage.
 */
export function requireServedStages(
  directory: Pick<UpstreamDirectory, "isWhollyEvacuated">,
  stages: readonly StageDefinition[],
  pieces: readonly number[],
): void {
  for (const [index, { service }] of stages.entries()) {
    if ((pieces[index] ?? 0) === 0 || !directory.isWhollyEvacuated(service)) continue;
    const detail = `the data centres of all upstreams of ${service} are evacuated`;
    throw ServeError.create(ErrorKind.NoUpstream, detail);
  }
}
