import { z } from "zod";
import { changeSchema } from "../configuration/configuration-change.js";

/** Schema of what daemons spread among each other. */
export const updateSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("configuration"), change: changeSchema }),
  /** A request content that was in progress on an upstream that crashed. */
  z.object({
    kind: z.literal("crash-suspicion"),
    team: z.string(),
    contentDigest: z.string(),
    /** Service of the upstreams that crashed. */
    service: z.string(),
    upstreams: z.array(z.string()),
    /** Remaining time of the suspicion in ms. */
    expiresMs: z.number(),
    /** Remaining time in ms for which the content does not run at all. */
    blockedMs: z.number(),
    /** The instance that runs the content alone; given up if no time remains. */
    trial: z
      .object({ instance: z.string(), upstream: z.string(), expiresMs: z.number() })
      .optional(),
  }),
  /** A request content that crashed an upstream while it ran alone. */
  z.object({
    kind: z.literal("crash-conviction"),
    team: z.string(),
    contentDigest: z.string(),
    expiresMs: z.number(),
  }),
  /** A request content that ran to its end and is no longer suspect. */
  z.object({ kind: z.literal("crash-acquittal"), team: z.string(), contentDigest: z.string() }),
]);

/** Something that every daemon must learn within seconds. */
export type Update = z.output<typeof updateSchema>;
