import type { z } from "zod";

type Issue = z.core.$ZodIssue;

const LONGEST_VALUE = 80;

/** Names each wrong field of a body, its value and what is allowed. */
export function refusalText(error: z.ZodError, body: unknown): string {
  return error.issues
    .flatMap((issue) => leaves(issue, []))
    .map(({ path, message }) => {
      const place = path.length === 0 ? "body" : path.join(".");
      return `${place}: ${valueText(body, path)} is not allowed: ${message}`;
    })
    .join("; ");
}

/** Replaces a failed union by the issues of the alternative that the value was meant to be. */
function leaves(issue: Issue, above: readonly string[]): { path: string[]; message: string }[] {
  const path = [...above, ...issue.path.map(String)];
  if (issue.code !== "invalid_union") return [{ path, message: issue.message }];
  const meant = issue.errors.find((issues) => !issues.some(isTag)) ?? [];
  if (meant.length === 0) return [{ path, message: "no alternative has this kind and section" }];
  return meant.flatMap((inner) => leaves(inner, path));
}

/** Whether the issue is about a field that chooses the alternative. */
function isTag(issue: Issue): boolean {
  return issue.path.length === 1 && (issue.path[0] === "kind" || issue.path[0] === "section");
}

function valueText(body: unknown, path: readonly string[]): string {
  let value = body;
  for (const part of path) {
    value = (value as Record<string, unknown> | null | undefined)?.[part];
  }
  const text = value === undefined ? "no value" : JSON.stringify(value);
  return text.length > LONGEST_VALUE ? `${text.slice(0, LONGEST_VALUE)}...` : text;
}
