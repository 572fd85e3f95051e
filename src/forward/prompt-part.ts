/** A part of a prompt; requests with the same leading parts share cached prefill. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}
