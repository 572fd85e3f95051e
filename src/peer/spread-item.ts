import { z } from "zod";
import { memberEntrySchema } from "./member-entry.js";
import { updateSchema } from "./update.js";

/** Entries in one message of member news. */
export const ENTRIES_PER_NEWS = 32;

/** Schema of what is spread: an update for other modules, or news of members. */
export const spreadItemSchema = z.union([
  z.object({
    kind: z.literal("members"),
    entries: z.array(memberEntrySchema).max(ENTRIES_PER_NEWS),
  }),
  updateSchema,
]);

export type SpreadItem = z.output<typeof spreadItemSchema>;

/** Schema of the parameters of a broadcast call. */
export const broadcastSchema = z.object({
  id: z.string().max(128),
  item: spreadItemSchema,
  /** The receiver passes the item on to the members between itself and this one on the ring. */
  until: z.string().max(63).optional(),
});

export type BroadcastCall = z.input<typeof broadcastSchema>;
