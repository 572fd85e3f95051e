import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { UpstreamClients } from "../upstream/upstream-clients.js";
import type { UpstreamRecord } from "./upstream-record.js";

const PERIOD_MS = 250;
const TIMEOUT_MS = 200;
/** Services of up to this size are polled as a whole in each period. */
const SMALL_SERVICE = 10;
/** In larger services each upstream that this instance uses is polled once in so many periods. */
const PERIODS_PER_USED = 4;
const MOST_USED_PER_PERIOD = 10;
const USED_MS = 2_000;

/**
 * Reads the load of the upstreams of one service. In a large service it polls those that this
 * instance used lately and one of the others in each period, because polling all from all instances
 * would cost requests that grow with the square of the fleet.
 */
export class LoadPoller {
  private nextUsed = 0;
  private nextOther = 0;
  private readonly period: Subscription;

  private constructor(
    private readonly records: () => readonly UpstreamRecord[],
    private readonly failed: (record: UpstreamRecord) => void,
    private readonly clients: UpstreamClients,
    private readonly timers: Timers,
  ) {
    this.period = timers.every(PERIOD_MS, () => {
      this.poll();
    });
  }

  /** Starts polling and reports each upstream that does not answer to `failed`, until `stop`. */
  static create(
    records: () => readonly UpstreamRecord[],
    failed: (record: UpstreamRecord) => void,
    parts: { clients: UpstreamClients; timers: Timers },
  ): LoadPoller {
    return new LoadPoller(records, failed, parts.clients, parts.timers);
  }

  /** Polls no more. */
  stop(): void {
    this.period.cancel();
  }

  private poll(): void {
    const records = this.records();
    if (records.length <= SMALL_SERVICE) {
      for (const record of records) void this.read(record);
      return;
    }
    const since = this.timers.now() - USED_MS;
    const used = records.filter(({ inFlight, lastUsed }) => inFlight > 0 || lastUsed >= since);
    const count = Math.min(MOST_USED_PER_PERIOD, Math.ceil(used.length / PERIODS_PER_USED));
    for (let at = 0; at < count; at++) this.readAt(used, this.nextUsed++);
    this.readAt(records, this.nextOther++);
  }

  private readAt(records: readonly UpstreamRecord[], position: number): void {
    const record = records[position % records.length];
    if (record !== undefined) void this.read(record);
  }

  private async read(record: UpstreamRecord): Promise<void> {
    const stop = new AbortController();
    const timeout = this.timers.after(TIMEOUT_MS, () => {
      stop.abort();
    });
    try {
      const load = await this.clients.of(record.upstream).load(stop.signal);
      record.reachable = true;
      record.reportedLoad.take(load, record.inFlight, this.timers.now());
    } catch {
      // An upstream that does not answer gets no probe; work would only fail there.
      record.reachable = false;
      this.failed(record);
    } finally {
      timeout.cancel();
    }
  }
}
