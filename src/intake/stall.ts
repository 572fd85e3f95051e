/** Time without progress after which a body or response may be ended when memory is short, in ms. */
export const STALL_MS = 5_000;
