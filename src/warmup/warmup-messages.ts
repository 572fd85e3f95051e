import { z } from "zod";

/** Cold upstreams in one message; far above those of a deployment. */
export const MAX_COLD_UPSTREAMS = 1_024;

const MAX_WARMUP_MS = 86_400_000;

const processFields = {
  upstream: z.string().max(128),
  /** Start of the process in ms since the epoch. */
  startedMs: z.number(),
  /** Remaining time in which it is cold, in ms, as the sender knows it. */
  remainingMs: z.number().nonnegative().max(MAX_WARMUP_MS),
};

/** Schema of a request for a permit to send to a cold upstream. */
export const warmupRequestSchema = z.object({
  ...processFields,
  service: z.string().max(200),
  /** Remaining time in which it may be cold, as the sender could not connect to it, in ms. */
  unreachedMs: z.number().nonnegative().max(MAX_WARMUP_MS).optional(),
  /** 0 is the most urgent. */
  rank: z.number(),
  team: z.string(),
  /** Longest wait for the permit at the owner, in ms. */
  maxWaitMs: z.number().nonnegative(),
});

const toldProcess = z.object({
  ...processFields,
  /** Set if the process was not reached, and may be a cold one. */
  inferred: z.boolean().optional(),
  /** Age of a request to which the process responded without being cold, in ms; `remainingMs` is 0. */
  warmAgeMs: z.number().nonnegative().max(MAX_WARMUP_MS).optional(),
  /** Set if that response stated it. */
  stated: z.boolean().optional(),
});

/** Schema of the upstreams that an instance tells others to be cold, or not to be. */
export const coldUpstreamsSchema = z.object({
  upstreams: z.array(toldProcess).max(MAX_COLD_UPSTREAMS),
});

export type WarmupRequest = z.output<typeof warmupRequestSchema>;
export type ColdProcess = z.output<typeof coldUpstreamsSchema>["upstreams"][number];
