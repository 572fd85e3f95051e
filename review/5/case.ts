import { PoisonedService, ROUTE, SOUND_ROUTE } from "../lib/poison.js";
import { runCase } from "../lib/run-case.js";

const ROLLS = 2;
const REQUESTS_BETWEEN = 3;
/** Longer than `contact-ms`, so that all daemons are in touch at each request. */
const INTERVAL_MS = 4_000;

// The disruption is that the daemons are stopped and started in turn.
await runCase(import.meta.url, async (site, record, trouble) => {
  const service = await PoisonedService.create(site, record, ["a", "a", "a"], false);
  site.configure([ROUTE, SOUND_ROUTE]);
  await site.startDaemons(["a", "a", "a"]);
  await service.sendSound();
  for (let rolls = 0; rolls <= ROLLS; rolls += 1) {
    for (let at = 0; at < REQUESTS_BETWEEN; at += 1) {
      await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
      await service.sendPoison(site.daemons[at % site.daemons.length]?.ip ?? "");
    }
    if (!trouble || rolls === ROLLS) continue;
    for (const daemon of site.daemons) {
      record.add(`SIGTERM to ${daemon.ip}`);
      await daemon.end("SIGTERM");
      daemon.start();
      await daemon.ready();
      record.add(`${daemon.ip} is ready again`);
    }
  }
  service.stop();
  return service.verdict;
});
