import type { Claim } from "./claim.js";

/** How an idempotency key stands. */
export type ClaimAnswer =
  /** This request may dispatch. */
  | { readonly kind: "claimed"; readonly claim: Claim }
  /** An earlier request with the key ran; `answer` is what it stored. */
  | { readonly kind: "finished"; readonly request: string; readonly answer: string }
  /** An earlier request with the key is in progress; its id names the instance that holds it. */
  | { readonly kind: "running"; readonly request: string };
