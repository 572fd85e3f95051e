import { readFile } from "node:fs/promises";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { issueText } from "./issue-text.js";
import { type Settings, settingsSchema } from "./settings.js";

/**
 * Reads and checks a settings file.
 * Throws `InvalidSettings` that names each wrong field and what is allowed.
 */
export async function loadSettings(path: string): Promise<Settings> {
  return parseSettings(await readText(path));
}

/** Checks settings given as JSON text; throws `InvalidSettings`. */
export function parseSettings(text: string): Settings {
  const result = settingsSchema.safeParse(parseJson(text));
  if (!result.success) throw invalid(issueText(result.error));
  checkCredentialNames(result.data);
  return result.data;
}

async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (error) {
    throw ServeError.create(ErrorKind.InvalidSettings, `cannot read ${path}`, { cause: error });
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw ServeError.create(ErrorKind.InvalidSettings, `not JSON: ${String(error)}`, {
      cause: error,
    });
  }
}

function checkCredentialNames(settings: Settings): void {
  const names = settings.operators.credentials.map((credential) => credential.name);
  const position = names.findIndex((name, at) => names.indexOf(name) !== at);
  if (position < 0) return;
  throw invalid(
    `operators.credentials.${position}.name: duplicate name "${names[position] ?? ""}"`,
  );
}

function invalid(detail: string): ServeError {
  return ServeError.create(ErrorKind.InvalidSettings, detail);
}
