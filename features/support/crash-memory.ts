import { StoredSuspicions } from "../../src/crash/stored-suspicions.js";
import { CrashRegistry } from "../../src/forward/crash-registry.js";
import type { DecisionLines } from "../../src/forward/decision-lines.js";
import type { RowFeed } from "../../src/forward/row-feed.js";
import type { Members } from "../../src/peer/members.js";
import type { Updates } from "../../src/peer/updates.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { aliveMemberOf } from "./alive-member.js";
import { MemoryRows } from "./memory-rows.js";
import { MemoryUpdates } from "./memory-updates.js";

interface Remembering {
  readonly registry: CrashRegistry;
  readonly stored: StoredSuspicions;
}

/** Instances that share suspicions of contents by broadcasts and the store, on the manual clock. */
export class CrashMemory {
  readonly timers = ManualTimers.create();
  writes = 0;
  /** ID of an instance that does not reach the store. */
  cutOff: string | undefined;
  instances: Remembering[] = [];
  private readonly rows = MemoryRows.create();
  private updates = MemoryUpdates.create(this.timers);

  private constructor(readonly ids: readonly string[]) {
    this.startAll();
  }

  static create(count: number): CrashMemory {
    return new CrashMemory(Array.from({ length: count }, (_, at) => `i${at}`));
  }

  /** Updates of an instance beside these. */
  updatesOf(id: string): Updates {
    return this.updates.of(id);
  }

  /** Ends all instances and starts new ones, which know nothing. */
  restartAll(): void {
    for (const { stored } of this.instances) stored.stop();
    this.updates = MemoryUpdates.create(this.timers);
    this.startAll();
  }

  private startAll(): void {
    this.instances = this.ids.map((self, at) => {
      const { timers } = this;
      const crashRegistry = CrashRegistry.create({ timers, updates: this.updates.of(self) });
      const others = this.ids.filter((id) => id !== self).map(aliveMemberOf);
      const stored = StoredSuspicions.create({
        ...{ timers, self, crashRegistry, random: RandomSource.create(at + 1) },
        members: { all: () => others } as unknown as Members,
        rowFeed: this.feedOf(self),
        decisionLines: { write: () => undefined } as unknown as DecisionLines,
      });
      stored.start();
      return { registry: crashRegistry, stored };
    });
  }

  private feedOf(self: string): RowFeed {
    const { rows } = this;
    const reach = async <Result>(call: () => Promise<Result>): Promise<Result> => {
      await this.timers.sleep(1);
      if (this.cutOff === self) throw new Error("the store cannot be reached");
      return call();
    };
    return {
      readAll: (table) => reach(() => rows.readAll(table)),
      readChanges: () => rows.readChanges(),
      put: (table, key, text) =>
        reach(() => {
          this.writes += 1;
          return rows.put(table, key, text);
        }),
    };
  }
}
