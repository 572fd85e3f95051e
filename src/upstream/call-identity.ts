/** Identifies one attempt of one stage of one request; answers are matched by it. */
export interface CallIdentity {
  readonly request: string;
  readonly stage: string;
  readonly attempt: number;
}

/** The `x-request-id` header of a call. */
export function requestIdHeader(identity: CallIdentity): string {
  return `${identity.request}/${identity.stage}/${identity.attempt}`;
}
