import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { OPERATOR_CREDENTIAL } from "../../standin/fleet.js";

const PROGRAM = fileURLToPath(new URL("../../src/program/nutmegstage.js", import.meta.url));

/** How a run of the operators' client ended. */
export interface ClientResult {
  readonly code: number;
  readonly output: string;
}

/** Runs the operators' client in a directory that holds `document.json`. */
export async function runClient(
  server: string,
  options: readonly string[],
  document: object = {},
): Promise<ClientResult> {
  const cwd = await mkdtemp(join(tmpdir(), "nutmegstage-"));
  const credential = join(cwd, "credential");
  await writeFile(credential, OPERATOR_CREDENTIAL);
  await writeFile(join(cwd, "document.json"), JSON.stringify(document));
  const env = {
    ...process.env,
    NUTMEGSTAGE_SERVER: server,
    NUTMEGSTAGE_CREDENTIAL_FILE: credential,
  };
  try {
    return await new Promise((resolve) => {
      execFile(process.execPath, [PROGRAM, ...options], { env, cwd }, (error, out, err) => {
        resolve({ code: Number(error?.code ?? 0), output: out + err });
      });
    });
  } finally {
    await rm(cwd, { recursive: true });
  }
}
