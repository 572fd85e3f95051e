import type { z } from "zod";

/** Describes each problem that a schema found, with the path of the field. */
export function issueText(error: z.ZodError): string {
  return error.issues.map(describe).join("; ");
}

function describe(issue: z.core.$ZodIssue): string {
  const path = issue.path.map((part) => String(part)).join(".");
  const place = path === "" ? "document" : path;
  return issue.code === "unrecognized_keys"
    ? `${place}: unknown key ${issue.keys.map((key) => `"${key}"`).join(", ")}`
    : `${place}: ${issue.message}`;
}
