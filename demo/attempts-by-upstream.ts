import { z } from "zod";

const lineSchema = z.object({
  message: z.literal("decision"),
  kind: z.literal("route"),
  choice: z.string(),
});

/** Counts the routing decisions in the log lines of daemons by the upstream that was chosen. */
export function attemptsByUpstream(lines: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const line of lines) {
    const decision = lineSchema.safeParse(parsed(line));
    if (!decision.success) continue;
    const { choice } = decision.data;
    counts.set(choice, (counts.get(choice) ?? 0) + 1);
  }
  return new Map([...counts].toSorted(([a], [b]) => a.localeCompare(b)));
}

function parsed(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}
