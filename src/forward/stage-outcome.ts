import { z } from "zod";
import { PieceFailure } from "./piece-result.js";
import { stageWaitsSchema } from "./stage-wait.js";

/** Schema of the outcome of a submission. */
export const stageOutcomeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("made"),
    /** Handles of the results in the order of the pieces. */
    handles: z.array(z.string()),
    /** Data centre with most of the results. */
    dataCentre: z.string().optional(),
  }),
  z.object({
    kind: z.literal("failed"),
    reason: z.enum(PieceFailure),
    /** Whether a call with a piece was sent; if not, no piece of the submission has run. */
    begun: z.boolean(),
  }),
  /** The owner is about to stop and has sent no piece; the stage is submitted to another owner. */
  z.object({ kind: z.literal("moved") }),
]);

/** Outcome of a submission. */
export type StageOutcome = z.output<typeof stageOutcomeSchema>;

/** Outcome of a submission after which it is not submitted to another owner. */
export type FinalStageOutcome = Exclude<StageOutcome, { kind: "moved" }>;

/** Schema of the answer to a submission. */
export const stageTicketSchema = z.discriminatedUnion("kind", [
  /** `expectedMs` is the expected time until the results. */
  z.object({ kind: z.literal("accepted"), expectedMs: z.number(), waits: stageWaitsSchema }),
  /** `retryAfterMs` is the time after which a submission is probably accepted. */
  z.object({
    kind: z.literal("refused"),
    retryAfterMs: z.number(),
    waits: stageWaitsSchema.optional(),
  }),
]);

/** The answer to a submission. */
export type StageTicket = z.output<typeof stageTicketSchema>;
