/** Proof that the sender of an order is authorised to give it; sent with the order. */
export interface OrderPermit {
  /** Fencing number; an engine refuses orders with an older one. */
  readonly fencing: number;
  /** Present for engines that authenticate the sender. */
  readonly issuer?: { readonly id: string; readonly credential: string };
}
