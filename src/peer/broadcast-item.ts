import { z } from "zod";
import { memberEntrySchema } from "./member-entry.js";
import { updateSchema } from "./update.js";

/** Member entries in one message. */
export const MAX_ENTRIES_PER_MESSAGE = 32;

/** Schema of a broadcast item: an update for other modules, or changes of members. */
export const broadcastItemSchema = z.union([
  z.object({
    kind: z.literal("members"),
    entries: z.array(memberEntrySchema).max(MAX_ENTRIES_PER_MESSAGE),
  }),
  updateSchema,
]);

export type BroadcastItem = z.output<typeof broadcastItemSchema>;

/** Schema of the parameters of a broadcast call. */
export const broadcastCallSchema = z.object({
  id: z.string().max(128),
  item: broadcastItemSchema,
  /** The receiver forwards the item to the members between itself and this one on the ring. */
  until: z.string().max(63).optional(),
});

export type BroadcastCall = z.input<typeof broadcastCallSchema>;
