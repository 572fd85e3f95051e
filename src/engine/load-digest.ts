import { z } from "zod";

const MAX_ENGINES = 64;
const MAX_PARTS = 32;

/** Longer IDs of parts are told to no other instance. */
export const MAX_ID_LENGTH = 128;

const idSchema = z.string().max(MAX_ID_LENGTH);
const figureSchema = z.number().nonnegative();
const engineSchema = z.tuple([idSchema, figureSchema, figureSchema]);
const engineFigureSchema = z.tuple([idSchema, figureSchema]);
const engines = z.array(engineSchema).max(MAX_ENGINES).default([]);
const parts = z.array(engineFigureSchema).max(MAX_PARTS).default([]);

/** Schema of what an instance tells another one of engines, beside a call or its answer. */
export const loadDigestSchema = z.object({
  /** The sender's own: engines with the time to read what waits, in ms, and requests there. */
  engines,
  /** The sender's own: work of parts in ms of an engine for each ms. */
  parts,
  /** Measurements of the sender: engines with the time taken as a multiple of the assumed one. */
  samples: z.array(engineFigureSchema).max(MAX_ENGINES).default([]),
  /** The same figures of all instances but the receiver, as far as the sender knows them. */
  sumEngines: engines,
  sumParts: parts,
  /** Engines that are slower than usual, with the factor. */
  slow: z.array(engineFigureSchema).max(MAX_ENGINES).default([]),
});

/** An engine, the time in which it reads what waits there in ms, and the requests there. */
export type LoadedEngine = readonly [id: string, readMs: number, running: number];
export type LoadDigest = z.input<typeof loadDigestSchema>;
