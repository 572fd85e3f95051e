import { z } from "zod";
import { PieceFailure } from "./piece-result.js";
import { stageWaitsSchema } from "./stage-wait.js";

/** Schema of how a submission ended. */
export const stageOutcomeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("made"),
    /** Handles of the results in the order of the pieces. */
    handles: z.array(z.string()),
    /** Data centre that keeps most of them. */
    dataCentre: z.string().optional(),
  }),
  z.object({
    kind: z.literal("failed"),
    reason: z.enum(PieceFailure),
    /** Whether a piece was part of a call; if not, nothing of the stage ran. */
    begun: z.boolean(),
  }),
  /** The instance is about to stop and has begun nothing; another one should fill the calls. */
  z.object({ kind: z.literal("moved") }),
]);

/** How a submission ended. */
export type StageOutcome = z.output<typeof stageOutcomeSchema>;

/** How a submission ended for its request. */
export type FinalStageOutcome = Exclude<StageOutcome, { kind: "moved" }>;

/** Schema of the answer to a submission. */
export const stageTicketSchema = z.discriminatedUnion("kind", [
  /** `expectedMs` is the time until the results are expected. */
  z.object({ kind: z.literal("accepted"), expectedMs: z.number(), waits: stageWaitsSchema }),
  /** `retryAfterMs` is the time after which there is probably room. */
  z.object({
    kind: z.literal("refused"),
    retryAfterMs: z.number(),
    waits: stageWaitsSchema.optional(),
  }),
]);

/** The answer to a submission. */
export type StageTicket = z.output<typeof stageTicketSchema>;
