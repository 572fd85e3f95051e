import type { DecisionLines } from "../forward/decision-lines.js";
import type { RowFeed } from "../forward/row-feed.js";
import { StoreTable } from "../forward/store-table.js";
import type { RandomSource } from "../random/random-source.js";
import type { Timers } from "../time/timers.js";
import { decodeExpiring, encodeExpiring } from "./expiring-items.js";
import { type PartConviction, partConvictionSchema } from "./part-conviction.js";
import type { PromptGuard } from "./prompt-guard.js";

const ROW_KEY = "prompt-parts";
/** Also the time after which an instance that missed a broadcast has the convictions. */
const READ_INTERVAL_MS = 60_000;
const RETRY_INTERVAL_MS = 2_000;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly rowFeed: RowFeed;
  readonly promptGuard: PromptGuard;
  readonly decisionLines: DecisionLines;
}

/**
 * Keeps convictions in the store, for instances that start later and after a loss of all. Each
 * instance merges what it holds with the row, so that a lost or overwritten row is completed by the
 * next instance that reads it.
 */
export class StoredConvictions {
  private readonly stopController = new AbortController();
  private wake = new AbortController();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StoredConvictions {
    return new StoredConvictions(parts);
  }

  start(): void {
    this.parts.promptGuard.onVerdict(() => {
      this.wake.abort();
    });
    void this.run();
  }

  stop(): void {
    this.stopController.abort();
  }

  private async run(): Promise<void> {
    const { timers, random } = this.parts;
    const { signal } = this.stopController;
    while (!signal.aborted) {
      this.wake = new AbortController();
      const intervalMs = (await this.synchronize()) ? READ_INTERVAL_MS : RETRY_INTERVAL_MS;
      const delayMs = intervalMs * (0.5 + random.fraction());
      await timers
        .sleep(delayMs, AbortSignal.any([signal, this.wake.signal]))
        .catch(() => undefined);
    }
  }

  /** Returns whether the store answered. */
  private async synchronize(): Promise<boolean> {
    const { timers, rowFeed, promptGuard, decisionLines } = this.parts;
    try {
      const { rows } = await rowFeed.readAll(StoreTable.Convictions);
      const text = rows.find(([key]) => key === ROW_KEY)?.[1];
      const stored = decodeExpiring(partConvictionSchema, text, timers.wallClock());
      const valid = new Set(promptGuard.adopt(stored).map(keyOf));
      const held = promptGuard.list();
      const complete = held.every((conviction) => valid.has(keyOf(conviction)));
      if (complete && valid.size === stored.length) return true;
      await rowFeed.put(StoreTable.Convictions, ROW_KEY, encodeExpiring(held, timers.wallClock()));
      return true;
    } catch (error) {
      decisionLines.write("convictions not synchronized with the store", { detail: String(error) });
      return false;
    }
  }
}

function keyOf({ service, parts }: PartConviction): string {
  return `${service} ${parts.join(" ")}`;
}
