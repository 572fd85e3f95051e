import { setTimeout as delay } from "node:timers/promises";
import type { Fleet } from "../../standin/fleet.js";
import { type Usage, usageOf } from "./usage.js";

const SETTLE_MS = 6_000;
const WINDOW_MS = 8_000;
const MS_PER_SECOND = 1_000;

/** What one daemon uses per second, as a mean over the daemons of a fleet. */
export interface Measurement {
  /** Share of a core. */
  readonly cpuShare: number;
  readonly residentBytes: number;
  /** Bytes read and written per second. */
  readonly bytesPerSecond: number;
}

/** Measures the daemons of a fleet over a window, while `load` runs if it is given. */
export async function measured(fleet: Fleet, load?: () => Promise<void>): Promise<Measurement> {
  await delay(SETTLE_MS);
  const before = await usages(fleet);
  const start = performance.now();
  await Promise.all([delay(WINDOW_MS), load?.()]);
  const seconds = (performance.now() - start) / MS_PER_SECOND;
  const after = await usages(fleet);
  return {
    cpuShare: (total(after, "cpuSeconds") - total(before, "cpuSeconds")) / after.length / seconds,
    residentBytes: total(after, "residentBytes") / after.length,
    bytesPerSecond: (total(after, "ioBytes") - total(before, "ioBytes")) / after.length / seconds,
  };
}

function usages(fleet: Fleet): Promise<Usage[]> {
  return Promise.all(fleet.daemons.map(({ child }) => usageOf(child.pid)));
}

function total(list: readonly Usage[], field: keyof Usage): number {
  return list.reduce((sum, usage) => sum + usage[field], 0);
}
