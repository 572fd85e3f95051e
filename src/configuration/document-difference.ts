import { isDeepStrictEqual } from "node:util";
import type { ConfigurationUpdate } from "./configuration-change.js";
import type { ConfigurationDocument } from "./configuration-document.js";
import { type Entry, entryKey } from "./entry-key.js";
import { Section } from "./section.js";

/** The updates that lead from one document to another; empty if they are equal. */
export function documentDifference(
  from: ConfigurationDocument,
  to: ConfigurationDocument,
): ConfigurationUpdate[] {
  const updates = Object.values(Section).flatMap((section) =>
    sectionDifference(section, from[section], to[section]),
  );
  if (!isDeepStrictEqual(from.floors, to.floors)) {
    updates.push({ kind: "floors", floors: to.floors });
  }
  return updates;
}

function sectionDifference(
  section: Section,
  from: readonly Entry[],
  to: readonly Entry[],
): ConfigurationUpdate[] {
  const before = new Map(from.map((entry) => [entryKey(entry), entry]));
  const after = new Set(to.map(entryKey));
  const puts = to
    .filter((entry) => !isDeepStrictEqual(before.get(entryKey(entry)), entry))
    .map((entry) => ({ kind: "put", section, entry }) as ConfigurationUpdate);
  const removals = [...before.keys()]
    .filter((key) => !after.has(key))
    .map((key): ConfigurationUpdate => ({ kind: "remove", section, key }));
  return [...puts, ...removals];
}

/** Applies updates to a document and returns the new one. */
export function updatedDocument(
  document: ConfigurationDocument,
  updates: readonly ConfigurationUpdate[],
): ConfigurationDocument {
  return updates.reduce(updatedOnce, document);
}

function updatedOnce(
  document: ConfigurationDocument,
  update: ConfigurationUpdate,
): ConfigurationDocument {
  switch (update.kind) {
    case "put":
      return { ...document, [update.section]: withEntry(document[update.section], update.entry) };
    case "remove":
      return { ...document, [update.section]: withoutKey(document[update.section], update.key) };
    case "floors":
      return { ...document, floors: update.floors };
  }
}

function withEntry(entries: readonly Entry[], entry: Entry): Entry[] {
  const key = entryKey(entry);
  const present = entries.some((other) => entryKey(other) === key);
  if (!present) return [...entries, entry];
  return entries.map((other) => (entryKey(other) === key ? entry : other));
}

function withoutKey(entries: readonly Entry[], key: string): Entry[] {
  return entries.filter((entry) => entryKey(entry) !== key);
}
