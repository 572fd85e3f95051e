import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { UpstreamClients } from "../upstream/upstream-clients.js";
import type { UpstreamRecord } from "./upstream-record.js";

const POLL_INTERVAL_MS = 250;
const POLL_TIMEOUT_MS = 200;
/** Services of up to this size are polled as a whole in each period. */
const MAX_FULLY_POLLED_UPSTREAMS = 10;
/** In a larger service each upstream in use by this instance is polled once in this many periods. */
const PERIODS_PER_USED_UPSTREAM = 4;
const MAX_USED_PER_PERIOD = 10;
const RECENT_USE_MS = 2_000;

/**
 * Reads the load of the upstreams of one service. In a large service it polls those that this
 * instance used lately and one of the others in each period, because polling all from all instances
 * would cost requests that grow with the square of the fleet.
 */
export class LoadPoller {
  private nextUsed = 0;
  private nextOther = 0;
  private readonly subscription: Subscription;

  private constructor(
    private readonly records: () => readonly UpstreamRecord[],
    private readonly onFailure: (record: UpstreamRecord) => void,
    private readonly clients: UpstreamClients,
    private readonly timers: Timers,
  ) {
    this.subscription = timers.every(POLL_INTERVAL_MS, () => {
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

  /** Stops polling. */
  stop(): void {
    this.subscription.cancel();
  }

  private poll(): void {
    const records = this.records();
    if (records.length <= MAX_FULLY_POLLED_UPSTREAMS) {
      for (const record of records) void this.pollUpstream(record);
      return;
    }
    const since = this.timers.now() - RECENT_USE_MS;
    const used = records.filter(({ inFlight, lastUsedAt }) => inFlight > 0 || lastUsedAt >= since);
    const count = Math.min(MAX_USED_PER_PERIOD, Math.ceil(used.length / PERIODS_PER_USED_UPSTREAM));
    for (let at = 0; at < count; at++) this.pollAt(used, this.nextUsed++);
    this.pollAt(records, this.nextOther++);
  }

  private pollAt(records: readonly UpstreamRecord[], position: number): void {
    const record = records[position % records.length];
    if (record !== undefined) void this.pollUpstream(record);
  }

  private async pollUpstream(record: UpstreamRecord): Promise<void> {
    const stop = new AbortController();
    const timeout = this.timers.after(POLL_TIMEOUT_MS, () => {
      stop.abort();
    });
    try {
      const load = await this.clients.of(record.upstream).load(stop.signal);
      record.reachable = true;
      record.reportedLoad.recordReport(load, record.inFlight, this.timers.now());
    } catch {
      // An unreachable upstream is not probed, because a request sent there would fail.
      record.reachable = false;
      this.onFailure(record);
    } finally {
      timeout.cancel();
    }
  }
}
