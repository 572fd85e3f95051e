import type { ModelNeeds } from "./model-needs.js";
import type { PlacedEngine } from "./placed-engine.js";

/** Engines that are fully used queue too long to meet targets. */
const HEADROOM = 1.25;
/** Worth of served work by tier of the needs; each tier outweighs the next one. */
const WEIGHTS = [8, 4, 2, 1];

/** Worth of the work that the engines can serve, in weighted ms of service time per second. */
export function placementValue(engines: readonly PlacedEngine[], needs: ModelNeeds): number {
  const free = engines.map(({ capacity }) => capacity);
  const holders = new Map(
    [...needs.keys()].map((model) => [model, holdersOf(engines, model)] as const),
  );
  let value = 0;
  for (const [tier, weight] of WEIGHTS.entries()) {
    for (const [model, tiers] of needs) {
      let need = (tiers[tier] ?? 0) * HEADROOM;
      for (const at of holders.get(model) ?? []) {
        const taken = Math.min(need, free[at] ?? 0);
        free[at] = (free[at] ?? 0) - taken;
        need -= taken;
        value += taken * weight;
      }
    }
  }
  return value;
}

/** Engines that hold fewer models come first, which keeps shared ones for the others. */
function holdersOf(engines: readonly PlacedEngine[], model: string): number[] {
  const indexes = [...engines.keys()].filter((at) => engines[at]?.held.includes(model));
  const shared = (at: number): number => engines[at]?.held.length ?? 0;
  return indexes.sort((a, b) => shared(a) - shared(b));
}
