// Measures what daemons use at several sizes and prints the slopes behind docs/CAPACITY.md.
// Timing figures depend on the machine and on what else runs on it.
import { mkdir, writeFile } from "node:fs/promises";
import {
  type Series,
  membersSeries,
  requestsSeries,
  teamsSeries,
  upstreamsSeries,
} from "./series.js";
import { slopeOf, valueAt } from "./slope.js";

const MIB = 1_048_576;
const PERCENT = 100;
const TARGET_SIZES: Readonly<Record<string, number>> = {
  daemons: 370,
  upstreams: 1_400,
  teams: 1_200,
  "requests/s": 18_000 / 370,
};

const quantities = [
  { name: "CPU %", of: (point: Series["points"][number]) => point.measurement.cpuShare * PERCENT },
  { name: "MiB", of: (point: Series["points"][number]) => point.measurement.residentBytes / MIB },
  { name: "bytes/s", of: (point: Series["points"][number]) => point.measurement.bytesPerSecond },
];

function print(one: Series): void {
  process.stdout.write(`\n${one.name}, by ${one.unit}\n`);
  for (const { name, of } of quantities) {
    const points = one.points.map((point) => [point.size, of(point)] as const);
    const slope = slopeOf(points);
    const target = TARGET_SIZES[one.unit] ?? 0;
    const values = points.map(([size, value]) => `${size}: ${value.toFixed(2)}`).join(", ");
    const line = `${slope.base.toFixed(2)} + ${slope.perUnit.toFixed(4)} per unit`;
    const at = `${target.toFixed(0)}: ${valueAt(slope, target).toFixed(2)}`;
    process.stdout.write(`  ${name}: ${values}; line ${line}; at ${at}\n`);
  }
}

const results: Series[] = [];
for (const measure of [
  membersSeries,
  upstreamsSeries,
  teamsSeries,
  () => requestsSeries(16),
  () => requestsSeries(128),
]) {
  const one = await measure();
  results.push(one);
  print(one);
}
await mkdir("reports", { recursive: true });
await writeFile("reports/capacity.json", JSON.stringify(results, null, 2));
