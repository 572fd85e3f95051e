import { z } from "zod";
import { changeSchema } from "../configuration/configuration-change.js";
import { entrySchemas } from "../configuration/configuration-document.js";
import { Section } from "../configuration/section.js";

const MOST_HISTORY = 100;

const changeId = changeSchema.shape.id;
const baseVersion = z.number().int().nonnegative();

/** Schema of a change of the configuration. */
export const changeBodySchema = z.strictObject({
  changeId,
  /** Version that the operator saw. */
  baseVersion,
  updates: changeSchema.shape.updates.min(1),
  /** Checks the change without making it. */
  dryRun: z.boolean().default(false),
});

/** Schema of a new target of a class. */
export const targetBodySchema = z.strictObject({
  changeId,
  baseVersion: baseVersion.optional(),
  ...entrySchemas[Section.Classes].shape.target.shape,
});

/** Schema of a new upstream. */
export const upstreamBodySchema = z.strictObject({
  changeId,
  baseVersion: baseVersion.optional(),
  upstream: entrySchemas[Section.Upstreams],
});

/** Schema of the query of a removal. */
export const removalQuerySchema = z.strictObject({
  changeId,
  /** `leaving` stops new work; `now` deletes the entry. */
  mode: z.enum(["leaving", "now"]).default("leaving"),
});

/** Schema of the query of the history. */
export const historyQuerySchema = z.strictObject({
  limit: z.coerce.number().int().min(1).max(MOST_HISTORY).default(20),
});
