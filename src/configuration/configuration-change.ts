import { z } from "zod";
import { documentSchema, entrySchemas } from "./configuration-document.js";
import { Section } from "./section.js";

function put<Name extends Section>(
  section: Name,
): z.ZodObject<{
  kind: z.ZodLiteral<"put">;
  section: z.ZodLiteral<Name>;
  entry: (typeof entrySchemas)[Name];
}> {
  return z.object({
    kind: z.literal("put"),
    section: z.literal(section),
    entry: entrySchemas[section],
  });
}

const update = z.union([
  put(Section.DataCentres),
  put(Section.Links),
  put(Section.Classes),
  put(Section.Teams),
  put(Section.Models),
  put(Section.Services),
  put(Section.Pipelines),
  put(Section.Upstreams),
  z.object({ kind: z.literal("remove"), section: z.enum(Section), key: z.string() }),
  z.object({ kind: z.literal("floors"), floors: documentSchema.shape.floors }),
]);

/** Schema of the difference between two successive configuration versions. */
export const changeSchema = z.object({
  /** Chosen by the operator's client; the same id is accepted at most once. */
  id: z.string().min(8).max(64),
  version: z.number().int().positive(),
  operator: z.string(),
  /** Time of acceptance, in ms since the epoch. */
  time: z.number(),
  updates: z.array(update),
});

/** One described update of a configuration document. */
export type ConfigurationUpdate = z.output<typeof update>;

/** What leads from version `version - 1` to `version`. */
export type ConfigurationChange = z.output<typeof changeSchema>;
