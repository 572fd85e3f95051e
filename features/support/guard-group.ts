import { PromptGuard } from "../../src/crash/prompt-guard.js";
import type { DecisionLines } from "../../src/forward/decision-lines.js";
import type { Members } from "../../src/peer/members.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { aliveMemberOf } from "./alive-member.js";
import type { MemoryRows } from "./memory-rows.js";
import { MemoryUpdates } from "./memory-updates.js";

const MS_PER_SECOND = 1_000;

/** Instances with guards of prompts that share their evidence, without upstreams. */
export class GuardGroup {
  readonly timers = ManualTimers.create();
  readonly guards: readonly PromptGuard[];
  /** The store, if the group has one. */
  rows: MemoryRows | undefined;

  private constructor(count: number) {
    const updates = MemoryUpdates.create(this.timers);
    const ids = Array.from({ length: count }, (_, at) => `i${at}`);
    this.guards = ids.map((self) =>
      PromptGuard.create({
        timers: this.timers,
        self,
        members: membersOf(self, ids),
        updates: updates.of(self),
        decisionLines: { write: () => undefined } as unknown as DecisionLines,
        forwardMetrics: { recordPartCrash: () => undefined, setPartConvictions: () => undefined },
      }),
    );
  }

  static create(count: number): GuardGroup {
    return new GuardGroup(count);
  }

  /** Sends a request with the part to each instance every second; returns how many ran. */
  async runTrials(
    seconds: number,
    service: string,
    part: string,
    onRun: (guard: PromptGuard) => void,
  ): Promise<number> {
    let ran = 0;
    for (let second = 0; second < seconds; second += 1) {
      for (const guard of this.guards) {
        try {
          guard.admit(service, [part]);
        } catch {
          continue;
        }
        ran += 1;
        onRun(guard);
      }
      await this.timers.advance(MS_PER_SECOND);
    }
    return ran;
  }
}

function membersOf(self: string, ids: readonly string[]): Members {
  const others = ids.filter((id) => id !== self);
  return {
    self,
    all: () => others.map((id) => aliveMemberOf(id)),
    find: () => undefined,
    subscribe: () => ({ cancel: () => undefined }),
  };
}
