import type { ConfigurationDocument } from "./configuration-document.js";
import type { Section } from "./section.js";

/** An entry of any section of a configuration document. */
export type Entry = ConfigurationDocument[Section][number];

/** The key that identifies an entry within its section. */
export function entryKey(entry: Entry): string {
  if ("name" in entry) return entry.name;
  if ("id" in entry) return entry.id;
  return `${entry.from}>${entry.to}`;
}
