// Measures the spread of updates: `npm run bench -- spread [variants] [sizes]`.
import { SpreadRun } from "./spread/spread-run.js";
import type { SpreadFigures } from "./spread/spread-figures.js";

const [variants = "ring", sizes = "8,64,370"] = process.argv
  .slice(2)
  .filter((one) => one !== "spread");
const VARIANTS = variants.split(",");
const SIZES = sizes.split(",").map(Number);
/** In force everywhere within 14 s. */
const SPREAD_MS = 14_000;
/** Control traffic of at most 6 KB/s per daemon at the large scale, faults included. */
const BYTES_PER_SECOND = 6_000;
const LARGE_SCALE = 370;

function isWithinBounds({ totalBytes, quietBytes, ...times }: SpreadFigures): boolean {
  const slowest = Math.max(times.deadMs, times.frozenMs, times.cutMs);
  if (times.members < LARGE_SCALE) return slowest <= SPREAD_MS;
  return slowest <= SPREAD_MS && Math.max(totalBytes, quietBytes) <= BYTES_PER_SECOND;
}

let broken = false;
for (const members of SIZES) {
  for (const variant of VARIANTS) {
    const figures = await SpreadRun.create(variant, members).measure();
    const within = isWithinBounds(figures);
    const rounded = Object.entries({ ...figures }).map(
      ([name, value]: [string, string | number]) =>
        typeof value === "number" ? `${name} ${Math.round(value)}` : value,
    );
    process.stdout.write(`${rounded.join(", ")}, ${within ? "within bounds" : "BOUND BROKEN"}\n`);
    broken ||= variant === "ring" && !within;
  }
}
// Timers of members that still run would keep the process alive.
process.exit(broken ? 1 : 0);
