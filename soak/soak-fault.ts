import type { LinkState } from "../standin/link-state.js";
import type { UpstreamMode } from "../standin/upstream-mode.js";
import type { StoreMode } from "../standin/platform-store.js";

/** Parts of the fleet whose links can be harmed. */
export enum LinkSide {
  Callers = "callers",
  Store = "store",
  Upstream = "upstream",
}

/** Signals that a daemon gets from outside. */
export enum DaemonSignal {
  /** SIGKILL, then a start. */
  Kill = "kill",
  /** SIGTERM, then a start. */
  Stop = "stop",
  /** SIGSTOP, then SIGCONT. */
  Freeze = "freeze",
  /** SIGHUP. */
  Reload = "reload",
}

/** One disturbance; `target` is the number of a daemon or an upstream. */
export type SoakFault =
  | { readonly kind: "signal"; readonly signal: DaemonSignal; readonly target: number }
  | {
      readonly kind: "link";
      readonly side: LinkSide;
      readonly state: LinkState;
      readonly target: number;
    }
  | { readonly kind: "store"; readonly mode: StoreMode }
  | { readonly kind: "history" }
  /** The store comes back from a copy that is as old as the disturbance is long. */
  | { readonly kind: "restore" }
  | { readonly kind: "upstream"; readonly mode: UpstreamMode; readonly target: number }
  | { readonly kind: "leaving"; readonly target: number }
  /** A daemon loses its links to all upstreams; those of the other daemons stay. */
  | { readonly kind: "isolation"; readonly state: LinkState; readonly target: number }
  | { readonly kind: "limit"; readonly perSecond: number; readonly target: number }
  | { readonly kind: "key" };

/** A disturbance and its time from the start of the traffic, in ms. */
export interface PlannedFault {
  readonly atMs: number;
  readonly forMs: number;
  readonly fault: SoakFault;
}
