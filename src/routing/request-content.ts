/** Identifies what a team asked for; resends under new request ids share it. */
export interface RequestContent {
  readonly team: string;
  /** SHA-256 of pipeline and input in hex. */
  readonly contentDigest: string;
}

/** Key of a content in maps. */
export function contentKey({ team, contentDigest }: RequestContent): string {
  return `${contentDigest} ${team}`;
}
