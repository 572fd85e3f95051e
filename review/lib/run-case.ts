import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { CaseRecord } from "./record.js";
import { Site } from "./site.js";

const BROKEN = 1;
const NOT_RUN = 2;
const DEADLINE_MS = 115_000;

/** Whether the rule held, and what was seen. */
export interface Verdict {
  readonly held: boolean;
  readonly seen: string;
}

/** Runs a case of `review/N/` and exits as its result demands. */
export async function runCase(
  url: string,
  play: (site: Site, record: CaseRecord, trouble: boolean) => Promise<Verdict>,
): Promise<void> {
  process.on("uncaughtException", (error) => {
    process.stdout.write(`not run: ${String(error)}\n`);
    process.exit(NOT_RUN);
  });
  const number = dirname(fileURLToPath(url)).split("/").at(-1) ?? "";
  const trouble = process.env.TROUBLE !== "0";
  const record = CaseRecord.create(join("review", number, "record.txt"));
  record.add(`trouble: ${String(trouble)}`);
  const site = await Site.create();
  for (const signal of ["SIGINT", "SIGTERM"])
    process.on(signal, () => {
      process.exit(NOT_RUN);
    });
  process.on("exit", () => {
    site.kill();
  });
  let code = NOT_RUN;
  const late = new Promise<never>((_, reject) => {
    setTimeout(() => {
      reject(new Error("the case takes too long"));
    }, DEADLINE_MS).unref();
  });
  try {
    const { held, seen } = await Promise.race([play(site, record, trouble), late]);
    record.add(`${held ? "held" : "BROKEN"}: ${seen}`);
    process.stdout.write(`${held ? "held" : "BROKEN"}: ${seen}\n`);
    code = held ? 0 : BROKEN;
  } catch (error) {
    record.add(`not run: ${String(error)}`);
    process.stdout.write(`not run: ${String(error)}\n`);
  } finally {
    await site.stop();
    record.write();
  }
  process.exit(code);
}
