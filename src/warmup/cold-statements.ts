import { LRUCache } from "lru-cache";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { Timers } from "../time/timers.js";

/** Far above the number of upstreams of a deployment. */
const MAX_UPSTREAMS = 4_096;

interface Statement {
  readonly startedMs: number;
  readonly learntMs: number;
  readonly untilMs: number;
}

interface Parts {
  readonly timers: Timers;
  readonly directory: Pick<UpstreamDirectory, "find">;
}

/** For how long upstream processes stay cold, by upstream. */
export class ColdStatements {
  private readonly statements = new LRUCache<string, Statement>({ max: MAX_UPSTREAMS });

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): ColdStatements {
    return new ColdStatements(parts);
  }

  /** The last statement of an upstream, also if it has ended. */
  find(id: string): Statement | undefined {
    return this.statements.get(id);
  }

  /** Remaining time that is stated of the listed process or a newer one, in ms. */
  remainingMs(id: string): number {
    const { directory, timers } = this.parts;
    const statement = this.statements.get(id);
    // A newer process than the listed one answers at the same address.
    if (statement === undefined || statement.startedMs < (directory.find(id)?.startedMs ?? 0))
      return 0;
    return Math.max(0, statement.untilMs - timers.now());
  }

  /** Never shortens an earlier statement. */
  record({ id, startedMs }: Pick<UpstreamEntry, "id" | "startedMs">, remainingMs: number): void {
    if (remainingMs <= 0) return;
    const learntMs = this.parts.timers.now();
    const untilMs = learntMs + remainingMs;
    const known = this.statements.get(id);
    if (known !== undefined && known.startedMs > startedMs) return;
    if (known?.startedMs === startedMs && known.untilMs >= untilMs) return;
    this.statements.set(id, { startedMs, learntMs, untilMs });
  }
}
