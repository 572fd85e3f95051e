const INDENT = "  ";

/** Writes a JSON value as indented lines of names and values. */
export function readableText(value: unknown, indent = ""): string {
  if (typeof value !== "object" || value === null) return `${indent}${scalarText(value)}\n`;
  return Object.entries(value)
    .map(([name, item]: [string, unknown]) => {
      if (typeof item !== "object" || item === null) {
        return `${indent}${name}: ${scalarText(item)}\n`;
      }
      if (isFlat(item)) return `${indent}${name}: ${flatText(item)}\n`;
      return `${indent}${name}:\n${readableText(item, indent + INDENT)}`;
    })
    .join("");
}

function isFlat(item: object): boolean {
  return Object.values(item).every((part) => typeof part !== "object" || part === null);
}

function flatText(item: object): string {
  const parts = Object.entries(item).map(([name, part]: [string, unknown]) =>
    Array.isArray(item) ? scalarText(part) : `${name}=${scalarText(part)}`,
  );
  return parts.length === 0 ? "none" : parts.join(" ");
}

function scalarText(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value ?? null);
}
