import fc from "fast-check";
import type { TableFaults } from "../../standin/table-faults.js";
import { LedgerFleet } from "./ledger-fleet.js";

const LONGEST_WAIT_MS = 1_500;
const SETTLE_MS = 60_000;

type Action =
  | { readonly kind: "request"; readonly id: string; readonly key: string; deadlineMs: number }
  | { readonly kind: "kill" | "freeze" | "resume"; readonly id: string };

/** What happens to instances and to successive transactions. */
export interface History {
  readonly steps: readonly { readonly afterMs: number; readonly action: Action }[];
  readonly faults: readonly Partial<TableFaults>[];
}

/** Histories of three instances that are asked for two keys. */
export function historyOf(): fc.Arbitrary<History> {
  const id = fc.constantFrom("a", "b", "c");
  const request = fc.record({
    kind: fc.constant("request" as const),
    id,
    key: fc.constantFrom("x", "y"),
    deadlineMs: fc.integer({ min: 1, max: 3_000 }),
  });
  const fate = fc.record({ kind: fc.constantFrom("kill", "freeze", "resume"), id });
  const action = fc.oneof({ weight: 4, arbitrary: request }, { weight: 1, arbitrary: fate });
  const fault = fc.oneof(
    fc.constant({}),
    fc.constant({ loseAnswers: 1 }),
    fc.constant({ down: true }),
    fc.constant({ frozen: true }),
    fc.record({ delayMs: fc.integer({ min: 1, max: 2_000 }) }),
    fc.record({ effectDelayMs: fc.integer({ min: 1, max: 6_000 }) }),
  );
  const afterMs = fc.integer({ min: 0, max: LONGEST_WAIT_MS });
  return fc.record({
    steps: fc.array(fc.record({ afterMs, action }), { minLength: 2, maxLength: 12 }),
    faults: fc.array(fault, { maxLength: 16 }),
  });
}

/** Returns the promises that the history broke. */
export async function runHistory({ steps, faults }: History): Promise<string[]> {
  const fleet = LedgerFleet.create();
  fleet.table.script(...faults);
  for (const { afterMs, action } of steps) {
    const instance = fleet.instance(action.id);
    switch (action.kind) {
      case "request":
        void instance.request(action);
        break;
      case "kill":
        fleet.kill(action.id);
        break;
      case "freeze":
        instance.freeze();
        break;
      case "resume":
        instance.resume();
        break;
    }
    await fleet.timers.advance(afterMs);
  }
  await fleet.timers.advance(SETTLE_MS);
  return fleet.check();
}
