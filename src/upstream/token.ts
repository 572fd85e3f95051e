/** One generated token. */
export interface Token {
  /** Position in the whole answer, from 0; includes the tokens received before a resume. */
  readonly index: number;
  readonly text: string;
}
