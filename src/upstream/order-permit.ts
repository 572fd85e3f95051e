/** What an order carries to show that its sender may give it. */
export interface OrderPermit {
  readonly fencing: number;
  /** Present for engines that check who gives an order. */
  readonly issuer?: { readonly id: string; readonly credential: string };
}
