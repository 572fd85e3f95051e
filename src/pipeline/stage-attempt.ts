import type { UpstreamClient } from "../upstream/upstream-client.js";

/**
 * One execution of a stage on one upstream; `began` must be called before each part of
 * a stream is used; it throws if another attempt of the stage has won.
 */
export type StageAttempt<Result> = (
  client: UpstreamClient,
  attempt: number,
  began: () => void,
  signal: AbortSignal,
) => Promise<Result>;
