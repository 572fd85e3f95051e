import type { Configuration } from "../configuration/configuration.js";
import type { Upstream } from "../configuration/configuration-document.js";
import { UpstreamState } from "../configuration/upstream-state.js";

/** The lease group of the instance that decides placement. */
export const PLACEMENT_GROUP = "placement";

/** The engines that get orders: those whose entry lists models and that are not leaving. */
export function managedEngines(configuration: Configuration): readonly Upstream[] {
  return configuration.document.upstreams.filter(
    ({ models, state }) => models !== undefined && state === UpstreamState.Active,
  );
}
