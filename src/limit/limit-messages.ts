import { z } from "zod";

/** Limits of one owner; far above the upstreams of one owner that state a limit at a time. */
export const MAX_LIMITS = 1_024;

/** Identifies a grant to the owner that made it; other instances pass it back unread. */
const grantSchema = z.object({
  owner: z.string(),
  /** Start of the owner's process in ms since the epoch. */
  incarnation: z.number(),
  /** On the owner's monotonic clock, in ms. */
  grantedMs: z.number(),
});

/** Process of an upstream; a new process begins without a limit. */
const processFields = {
  upstream: z.string().max(128),
  /** Start of the process in ms since the epoch. */
  startedMs: z.number(),
};

/** Schema of a request for a permit; the limit is the one that the requester knows. */
export const permitRequestSchema = z.object({
  ...processFields,
  perSecond: z.number().nonnegative(),
  receiver: z.string(),
  /** 0 is the most urgent. */
  rank: z.number(),
  team: z.string(),
  /** Longest wait for the permit at the owner, in ms. */
  maxWaitMs: z.number().nonnegative(),
});

/** Schema of the answer to a request for a permit. */
export const permitAnswerSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("granted"), grant: grantSchema, waitedMs: z.number() }),
  /** `availableInMs` is the expected wait for a permit of that rank. */
  z.object({ kind: z.literal("refused"), availableInMs: z.number() }),
  /** The limit has ended. */
  z.object({ kind: z.literal("unlimited") }),
  /** The instance does not own the limit. */
  z.object({ kind: z.literal("not-owner") }),
]);

/** Schema of the report of a statement that differs from what the reporting instance knew. */
export const limitReportSchema = z.object({
  ...processFields,
  /** Null if the upstream states no limit any more. */
  perSecond: z.number().nonnegative().nullable(),
  receiver: z.string(),
  /** Grant of the request whose response made the statement. */
  grant: grantSchema.optional(),
});

/** Schema of the limits that an owner tells other instances. */
export const knownLimitsSchema = z.object({
  limits: z
    .array(
      z.object({
        ...processFields,
        perSecond: z.number().nonnegative().nullable(),
        receiver: z.string(),
        owner: z.string(),
        /** Rises with each message of the owner. */
        sequence: z.number(),
      }),
    )
    .max(MAX_LIMITS),
});

export type Grant = z.output<typeof grantSchema>;
export type PermitRequest = z.output<typeof permitRequestSchema>;
export type PermitAnswer = z.output<typeof permitAnswerSchema>;
export type LimitReport = z.output<typeof limitReportSchema>;
export type KnownLimit = z.output<typeof knownLimitsSchema>["limits"][number];
