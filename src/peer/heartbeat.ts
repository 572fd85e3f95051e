import { z } from "zod";
import { demandDigestSchema } from "../admission/demand-digest.js";
import { memberEntrySchema, packedEntrySchema } from "./member-entry.js";

/** Members in one heartbeat while two views differ; keeps a heartbeat below about 2 KB. */
export const MAX_MEMBERS_PER_HEARTBEAT = 8;
/** Update ids in one heartbeat. */
export const MAX_UPDATE_IDS_PER_HEARTBEAT = 32;

const updateIdSchema = z.string().max(128);

const sharedFields = {
  /** The sender's own entry. */
  entry: packedEntrySchema,
  /** Configuration version in force at the sender. */
  version: z.number().int().nonnegative(),
  /** Digest of the sender's view of the members. */
  hash: z.string().max(32),
  /** Some entries of the sender's view, if the views differ. */
  members: z.array(packedEntrySchema).max(MAX_MEMBERS_PER_HEARTBEAT).default([]),
  /** The sender's entry for the receiver, if it contradicts the receiver's own. */
  about: packedEntrySchema.optional(),
};

/** Schema of the parameters of a heartbeat. */
export const heartbeatSchema = z.object({
  ...sharedFields,
  /** Ids of updates that reached the sender recently. */
  updates: z.array(updateIdSchema).max(MAX_UPDATE_IDS_PER_HEARTBEAT).default([]),
  demand: demandDigestSchema.optional(),
});

/** Schema of the answer to a heartbeat. */
export const heartbeatAnswerSchema = z.object({
  ...sharedFields,
  /** Ids of the heartbeat's updates that have not reached the answering instance. */
  lacking: z.array(updateIdSchema).max(MAX_UPDATE_IDS_PER_HEARTBEAT).default([]),
});

/** Schema of a probe; `target` asks the receiver to probe a third member. */
export const probeSchema = z.object({ target: z.string().max(63).optional() });
export const probeAnswerSchema = z.object({ entry: memberEntrySchema });

export type Heartbeat = z.input<typeof heartbeatSchema>;
export type HeartbeatAnswer = z.input<typeof heartbeatAnswerSchema>;
