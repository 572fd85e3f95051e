import type { PeerMethod } from "./peer-method.js";

/** Answers a call; `params` is unchecked outside input, `from` the id of the calling instance. */
export type PeerHandler = (params: unknown, from: string) => Promise<unknown>;

/** The methods that this daemon offers to others. */
export interface PeerMethods {
  /** Registers the handler of a method; each method has one handler. */
  register(method: PeerMethod, handler: PeerHandler): void;
}
