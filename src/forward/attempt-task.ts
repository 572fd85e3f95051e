import type { DispatchAttributes } from "./dispatch-attributes.js";
import type { ForwardRequest } from "./forward-request.js";
import type { ResponseAttributes } from "./response-attributes.js";
import type { ResponseWriter } from "./response-writer.js";
import type { StreamProgress } from "./stream-progress.js";
import type { UpstreamEntry } from "./upstream-entry.js";

/** Input of one attempt. */
export interface AttemptTask {
  readonly request: ForwardRequest;
  readonly attemptId: string;
  readonly entry: UpstreamEntry;
  readonly dispatch: DispatchAttributes;
  readonly writer: ResponseWriter;
  readonly progress: StreamProgress;
  readonly streamed: boolean;
  /** Time without progress after which the attempt is aborted; undefined disables the check. */
  readonly silenceTimeoutMs: number | undefined;
  /** Called just before the request is sent on the open connection; false if it must not be. */
  readonly trySend: () => boolean;
  /** Called with the attributes of the response head, also if the upstream declined. */
  readonly onResponseHead: (attributes: ResponseAttributes) => void;
  /** Called when the head of a signed response to a request that ran has arrived. */
  readonly onResponseStart: () => void;
  /** Called when the first complete event, or the whole body, has arrived. */
  readonly onAnswer: () => void;
  /**
   * Called when a streamed response begins; resolves with whether its events may be passed on
   * before it is complete. Undefined if they may.
   */
  readonly beginStream: () => Promise<boolean> | undefined;
  /** Called when events are passed on to the caller. */
  readonly onEvents: () => void;
  readonly signal: AbortSignal;
}
