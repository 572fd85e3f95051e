import type { PlatformAnswer } from "../standin/platform-caller.js";

/** What a request asks for; its path names the route. */
export enum RequestKind {
  Repeatable = "plain",
  Once = "once",
  Staged = "stream/staged",
  Resumable = "stream/resumable",
}

/** A request of a caller and what the caller got. */
export interface SoakRequest extends PlatformAnswer {
  readonly id: string;
  readonly kind: RequestKind;
  /** The request that it repeats or resumes; itself if it is the first one. */
  readonly first: string;
  /** The last event that the caller had got before. */
  readonly after: number;
  /** Number of the daemon that got it. */
  readonly daemon: number;
  readonly key: string;
  /** Times since the epoch in ms. */
  readonly sentMs: number;
  readonly endedMs: number;
}

/** Whether a request may run at most once. */
export function runsOnce(kind: RequestKind): boolean {
  return kind === RequestKind.Once || kind === RequestKind.Staged;
}
