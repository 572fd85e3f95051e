/** The tokens of an answer; once compacted they cost one string and four bytes a token. */
export class TokenText {
  private parts: string[] = [];
  private text = "";
  /** End of each token in `text`, in UTF-16 code units. */
  private ends: Uint32Array | undefined;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): TokenText {
    return new TokenText();
  }

  get count(): number {
    return this.ends?.length ?? this.parts.length;
  }

  add(text: string): void {
    this.parts.push(text);
  }

  /** The token at a position, from 0. */
  at(position: number): string {
    if (this.ends === undefined) return this.parts[position] ?? "";
    return this.text.slice(this.ends[position - 1] ?? 0, this.ends[position]);
  }

  /** Joins the tokens and keeps where each one ends; returns the joined text. */
  compact(): string {
    if (this.ends !== undefined) return this.text;
    const ends = new Uint32Array(this.parts.length);
    let end = 0;
    for (const [at, part] of this.parts.entries()) ends[at] = end += part.length;
    this.text = this.parts.join("");
    this.ends = ends;
    this.parts = [];
    return this.text;
  }
}
