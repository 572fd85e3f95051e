import { z } from "zod";

/** Most records that one message or row holds; a row of the store holds some 2,000. */
export const MAX_RECORDS = 1_000;

/** Schema of the software version that began a stream. */
export const streamRecordSchema = z.object({
  /** Key of the stream. */
  key: z.string().max(64),
  version: z.string().max(200),
  /** Number of earlier records of the stream, whose versions brought no event to the caller. */
  ordinal: z.number().int().nonnegative(),
});

export const streamRecordsSchema = z.array(streamRecordSchema).max(MAX_RECORDS);

export type StreamRecord = z.output<typeof streamRecordSchema>;
