import type { UpstreamClient } from "../upstream/upstream-client.js";

/**
 * Runs a stage once on one upstream. It must call `onProgress` before it uses a token of a stream;
 * `onProgress` throws if another attempt of the stage has won.
 */
export type StageAttempt<Result> = (
  client: UpstreamClient,
  attempt: number,
  onProgress: () => void,
  signal: AbortSignal,
) => Promise<Result>;
