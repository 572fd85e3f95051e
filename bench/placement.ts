// Measures placement after shifts of demand on manual timers, against a fixed placement, and checks
// the stated targets. Prints the same figures on each run.
import type { ShiftFigures } from "./placement/shift-figures.js";
import { type Mix, ShiftRun } from "./placement/shift-run.js";

const SEEDS = [11, 23];
const RECOVERY_MS = 60_000;
const SETTLE_MS = 120_000;
const SHIFT_MS = 180_000;
const BURST_MS = 4_000;
const TURN_MS = 20_000;
const TURNS = 9;
const ADVICE: Mix = { advice: 0.55, chat: 0.15, summary: 0.05 };
const CHAT: Mix = { advice: 0.15, chat: 0.55, summary: 0.05 };
const ENGINES = 8;
/** Both large models need half of the engines, so that noise decides which one needs more. */
const BALANCED: Mix = { advice: 0.41, chat: 0.41, summary: 0.05 };
const BALANCED_MS = 600_000;

let broken = false;

function report(name: string, figures: ShiftFigures, within: boolean): void {
  const { recoveryMs, served, loads, mostLoadsOfAnEngine } = figures;
  process.stdout.write(
    `${name}: recovered after ${recoveryMs / 1_000} s, served ${served.toFixed(3)}, ` +
      `loads ${loads}, most of an engine ${mostLoadsOfAnEngine}${within ? "" : ", BOUND BROKEN"}\n`,
  );
  broken ||= !within;
}

for (const seed of SEEDS) {
  for (const fixed of [true, false]) {
    const name = `seed ${seed}, ${fixed ? "fixed" : "placed"}`;
    const run = ShiftRun.create(seed, fixed);
    const check = (figures: ShiftFigures): boolean =>
      fixed || (figures.recoveryMs <= RECOVERY_MS && figures.mostLoadsOfAnEngine <= 1);
    const quiet = await run.offer(ADVICE, SETTLE_MS, "advice");
    report(`${name}, steady`, quiet, quiet.loads === 0);
    await run.offer(CHAT, BURST_MS, "chat");
    const burst = await run.offer(ADVICE, SETTLE_MS, "advice");
    report(`${name}, after a burst of 4 s`, burst, check(burst) && burst.loads <= 1);
    const shift = await run.offer(CHAT, SHIFT_MS, "chat");
    report(`${name}, shift`, shift, check(shift));
    const back = await run.offer(ADVICE, SHIFT_MS, "advice");
    report(`${name}, shift back`, back, check(back));
    const balanced = await run.offer(BALANCED, BALANCED_MS, "chat");
    report(`${name}, balanced for 600 s`, balanced, balanced.loads <= ENGINES);
    let loads = 0;
    let served = 0;
    for (let turn = 0; turn < TURNS; turn += 1) {
      const even = turn % 2 === 0;
      const [mix, model] = even ? ([CHAT, "chat"] as const) : ([ADVICE, "advice"] as const);
      const figures = await run.offer(mix, TURN_MS, model);
      loads += figures.loads;
      served += figures.served / TURNS;
    }
    process.stdout.write(
      `${name}, ${TURNS} shifts of 20 s: served ${served.toFixed(3)}, loads ${loads}\n`,
    );
    broken ||= loads > ENGINES;
  }
}
process.exit(broken ? 1 : 0);
