import type { Timers } from "../time/timers.js";
import type { UpstreamClients } from "../upstream/upstream-clients.js";
import type { UpstreamRecord } from "./upstream-record.js";

const PERIOD_MS = 250;
const TIMEOUT_MS = 200;
/** Bounds the polls of one service to 40 per second whatever the number of upstreams. */
const POLLS_PER_PERIOD = 10;

/** Reads the load of the upstreams of one service, a few at a time. */
export class LoadPoller {
  private next = 0;

  private constructor(
    private readonly records: () => readonly UpstreamRecord[],
    private readonly failed: (record: UpstreamRecord) => void,
    private readonly clients: UpstreamClients,
    private readonly timers: Timers,
  ) {}

  /** Starts polling and reports each upstream that does not answer to `failed`; it goes on for the life of the process. */
  static create(
    records: () => readonly UpstreamRecord[],
    failed: (record: UpstreamRecord) => void,
    parts: { clients: UpstreamClients; timers: Timers },
  ): LoadPoller {
    const poller = new LoadPoller(records, failed, parts.clients, parts.timers);
    parts.timers.every(PERIOD_MS, () => {
      poller.poll();
    });
    return poller;
  }

  private poll(): void {
    const records = this.records();
    const count = Math.min(POLLS_PER_PERIOD, records.length);
    for (let at = 0; at < count; at++) {
      const record = records[(this.next + at) % records.length];
      if (record !== undefined) void this.read(record);
    }
    this.next = records.length === 0 ? 0 : (this.next + count) % records.length;
  }

  private async read(record: UpstreamRecord): Promise<void> {
    const stop = new AbortController();
    const timeout = this.timers.after(TIMEOUT_MS, () => {
      stop.abort();
    });
    try {
      const load = await this.clients.of(record.upstream).load(stop.signal);
      record.reachable = true;
      record.reported.take(load, record.inFlight, this.timers.now());
    } catch {
      // An upstream that does not answer gets no probe; work would only fail there.
      record.reachable = false;
      this.failed(record);
    } finally {
      timeout.cancel();
    }
  }
}
