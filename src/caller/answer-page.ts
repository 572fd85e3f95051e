import { z } from "zod";
import { answerEventSchema } from "./answer-event.js";

/** Longest wait for the next event that one call may ask for, in ms. */
export const LONGEST_PAGE_WAIT_MS = 2_000;

/** Schema of the parameters of a peer's read. */
export const pageRequestSchema = z.object({
  request: z.string(),
  team: z.string(),
  after: z.number().int().nonnegative(),
  /** How long to wait for an event if there is none yet. */
  waitMs: z.number().int().nonnegative().max(LONGEST_PAGE_WAIT_MS),
});

/** Schema of one page of an answer. */
export const answerPageSchema = z.object({
  events: z.array(z.object({ id: z.number().int().positive(), event: answerEventSchema })),
  /** Whether the last event of the page is the last of the answer. */
  last: z.boolean(),
});

/** One page of an answer. */
export type AnswerPage = z.output<typeof answerPageSchema>;
