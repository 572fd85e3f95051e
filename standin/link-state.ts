/** How a link treats the bytes of its connections. */
export enum LinkState {
  Open = "open",
  /** Passes bytes on late. */
  Delayed = "delayed",
  /** Refuses new connections; present ones live on. */
  Refused = "refused",
  /** Resets connections, present and new ones. */
  Resetting = "resetting",
  /** Passes on only what the connecting side sends. */
  CutBack = "cut-back",
  /** Passes on only what the accepting side sends. */
  CutForward = "cut-forward",
  /** Accepts connections and passes nothing on. */
  Silent = "silent",
}
