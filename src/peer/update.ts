import { z } from "zod";
import { changeSchema } from "../configuration/configuration-change.js";
import { partConvictionSchema } from "../crash/part-conviction.js";
import { knownLimitsSchema } from "../limit/limit-messages.js";
import { versionPlanSchema } from "../version/version-plan.js";
import { coldUpstreamsSchema } from "../warmup/warmup-messages.js";

/** Schema of the updates that daemons broadcast. */
export const updateSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("configuration"), change: changeSchema }),
  /** Request content that was in progress on an upstream that crashed. */
  z.object({
    kind: z.literal("crash-suspicion"),
    team: z.string(),
    contentDigest: z.string(),
    /** Service of the upstreams that crashed. */
    service: z.string(),
    upstreams: z.array(z.string()),
    /** The processes of these upstreams; instances of earlier versions do not name them. */
    processes: z.array(z.string()).optional(),
    /** Remaining time of the suspicion in ms. */
    expiresMs: z.number(),
    /** Remaining time in ms for which the content does not run at all. */
    blockedMs: z.number(),
    /** The instance that runs the content in isolation; abandoned when no time remains. */
    trial: z
      .object({ instance: z.string(), upstream: z.string(), expiresMs: z.number() })
      .optional(),
  }),
  /** Request content that crashed an upstream while it ran in isolation. */
  z.object({
    kind: z.literal("crash-conviction"),
    team: z.string(),
    contentDigest: z.string(),
    expiresMs: z.number(),
  }),
  /** Prompt parts of requests to which an upstream process began to respond when it crashed. */
  z.object({
    kind: z.literal("part-crash"),
    service: z.string(),
    process: z.string(),
    requests: z.array(z.array(z.string())),
  }),
  /** Prompt parts to which an upstream responded. */
  z.object({
    kind: z.literal("part-acquittal"),
    service: z.string(),
    parts: z.array(z.string()),
  }),
  partConvictionSchema.extend({ kind: z.literal("part-conviction") }),
  /** Limits that upstreams state for the requests of all instances together. */
  knownLimitsSchema.extend({ kind: z.literal("upstream-limits") }),
  /** Upstreams that are cold; an owner of permits, or the first instance that knows, tells it. */
  coldUpstreamsSchema.extend({ kind: z.literal("cold-upstreams") }),
  /** A brittle upstream that turned a request away; it gets nothing for a second. */
  z.object({
    kind: z.literal("upstream-full"),
    service: z.string(),
    upstream: z.string(),
    /** Start of its process in ms since the epoch. */
    startedMs: z.number(),
  }),
  /** The stored plan that says which software version of a service begins which stream. */
  z.object({
    kind: z.literal("version-plan"),
    service: z.string(),
    plan: versionPlanSchema,
  }),
  /** Request content that ran to completion and is no longer suspect. */
  z.object({ kind: z.literal("crash-acquittal"), team: z.string(), contentDigest: z.string() }),
]);

/** A change that every daemon must learn within seconds. */
export type Update = z.output<typeof updateSchema>;
