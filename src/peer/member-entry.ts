import { z } from "zod";
import { MemberState } from "./member-state.js";

const MAX_CORES = 4_096;

/** Schema of the state of one member as daemons exchange it. */
export const memberEntrySchema = z.object({
  id: z.string().min(1).max(63),
  incarnation: z.number().int().nonnegative(),
  /** Raised by the member itself to override the entries that others hold of it. */
  revision: z.number().int().nonnegative(),
  state: z.enum([MemberState.Alive, MemberState.Leaving, MemberState.Dead]),
  dataCentre: z.string().max(63),
  peerAddress: z.string().max(128),
  /** Processor cores that the instance may use; 0 if it did not say. */
  cores: z.number().nonnegative().max(MAX_CORES).default(0),
});

/** State of one member at one point of its history. */
export type MemberEntry = z.output<typeof memberEntrySchema>;

/** The same as an array of values, for messages with several entries. */
export const packedEntrySchema = z
  .tuple([
    memberEntrySchema.shape.id,
    memberEntrySchema.shape.incarnation,
    memberEntrySchema.shape.revision,
    memberEntrySchema.shape.state,
    memberEntrySchema.shape.dataCentre,
    memberEntrySchema.shape.peerAddress,
    memberEntrySchema.shape.cores,
  ])
  .transform(([id, incarnation, revision, state, dataCentre, peerAddress, cores]): MemberEntry => ({
    ...{ id, incarnation, revision, state, dataCentre, peerAddress, cores },
  }));

/** The packed form of an entry. */
export function packEntry(entry: MemberEntry): z.input<typeof packedEntrySchema> {
  const { id, incarnation, revision, state, dataCentre, peerAddress, cores } = entry;
  return [id, incarnation, revision, state, dataCentre, peerAddress, cores];
}

const stateRank: Readonly<Record<MemberEntry["state"], number>> = {
  [MemberState.Alive]: 0,
  [MemberState.Leaving]: 1,
  [MemberState.Dead]: 2,
};

/** Whether `entry` is later than `known` in the history of the same member. */
export function supersedes(entry: MemberEntry, known: MemberEntry): boolean {
  if (entry.incarnation !== known.incarnation) return entry.incarnation > known.incarnation;
  if (entry.revision !== known.revision) return entry.revision > known.revision;
  return stateRank[entry.state] > stateRank[known.state];
}
