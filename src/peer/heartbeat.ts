import { z } from "zod";
import { demandDigestSchema } from "../admission/demand-digest.js";
import { memberEntrySchema, packedEntrySchema } from "./member-entry.js";

/** Members in one heartbeat while two views differ; bounds its size to about 2 KB. */
export const MEMBERS_PER_HEARTBEAT = 8;
/** Update ids in one heartbeat. */
export const IDS_PER_HEARTBEAT = 32;

const updateId = z.string().max(128);

const shared = {
  /** The sender's own entry. */
  entry: packedEntrySchema,
  /** Configuration version in force at the sender. */
  version: z.number().int().nonnegative(),
  /** Digest of the sender's view of the members. */
  hash: z.string().max(32),
  /** Some entries of the sender's view, if the views differ. */
  members: z.array(packedEntrySchema).max(MEMBERS_PER_HEARTBEAT).default([]),
  /** What the sender believes of the receiver, if that is not what the receiver says. */
  about: packedEntrySchema.optional(),
};

/** Schema of the parameters of a heartbeat. */
export const heartbeatSchema = z.object({
  ...shared,
  /** Ids of updates that reached the sender lately. */
  updates: z.array(updateId).max(IDS_PER_HEARTBEAT).default([]),
  demand: demandDigestSchema.optional(),
});

/** Schema of the answer to a heartbeat. */
export const heartbeatAnswerSchema = z.object({
  ...shared,
  /** Ids of the heartbeat's updates that did not reach the answering instance. */
  lacking: z.array(updateId).max(IDS_PER_HEARTBEAT).default([]),
});

/** Schema of a probe; `target` asks the receiver to probe a third member. */
export const probeSchema = z.object({ target: z.string().max(63).optional() });
export const probeAnswerSchema = z.object({ entry: memberEntrySchema });

export type Heartbeat = z.input<typeof heartbeatSchema>;
export type HeartbeatAnswer = z.input<typeof heartbeatAnswerSchema>;
