import { Site } from "./site.js";

/** Exit codes of a case. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
/** A case ends by then in any case. */
const LIMIT_MS = 115_000;

/**
 * Runs a case and exits. `play` returns what broke the rule, one line each; `trouble` is false if
 * the disturbance is to be left out.
 */
export async function runCase(
  folder: string,
  play: (site: Site, trouble: boolean) => Promise<readonly string[]>,
): Promise<void> {
  const trouble = process.env.TROUBLE !== "0";
  const started: Site[] = [];
  // An error of the script itself says nothing about the rule.
  process.on("uncaughtException", (error) => {
    console.error(error);
    for (const daemon of started.flatMap(({ daemons }) => daemons)) daemon.signal("SIGKILL");
    process.exit(NOT_RUN);
  });
  const site = await Site.create(folder);
  started.push(site);
  let code = NOT_RUN;
  const limit = new Promise<never>((_resolve, reject) => {
    setTimeout(() => {
      reject(new Error("the case took too long"));
    }, LIMIT_MS).unref();
  });
  try {
    const broken = await Promise.race([play(site, trouble), limit]);
    for (const line of broken) site.note(`broken: ${line}`);
    const ends = site.daemons.flatMap(({ ownEnds }) => ownEnds);
    for (const line of ends) site.note(`a daemon ended by itself: ${line}`);
    code = broken.length > 0 ? BROKEN : HELD;
  } catch (error) {
    site.note(`the case could not run: ${String(error)}`);
    console.error(error);
  }
  site.note(`disturbance ${trouble ? "on" : "off"}, exit code ${code}`);
  await site.stop();
  console.log(site.record.slice(-12).join("\n"));
  process.exit(code);
}
