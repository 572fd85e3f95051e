/** Whether a JSON value is nested at most `most` levels deep; does not recurse itself. */
export function nestedAtMost(value: unknown, most: number): boolean {
  let level: unknown[] = [value];
  for (let depth = 0; level.length > 0; depth += 1) {
    if (depth > most) return false;
    level = level.flatMap((item) =>
      typeof item === "object" && item !== null
        ? Object.values(item as Record<string, unknown>)
        : [],
    );
  }
  return true;
}
