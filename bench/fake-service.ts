import TinyQueue from "tinyqueue";
import type { RandomSource } from "../src/random/random-source.js";
import type { Timers } from "../src/time/timers.js";
import type { FakeJob, FakeUpstream } from "./fake-upstream.js";

const REFUSED_AFTER_MS = 1;
const VARIATION = 0.2;

interface Entry {
  readonly job: FakeJob;
  readonly order: number;
}

/** A plain service with a fixed number of workers, a queue and late load reports. */
export class FakeService implements FakeUpstream {
  private readonly waiting = new TinyQueue<Entry>(
    [],
    (a, b) => a.job.priority - b.job.priority || a.order - b.order,
  );
  private readonly running = new Set<FakeJob>();
  private published = 0;
  private factor = 1;
  private arrivals = 0;
  lost = false;
  busyMs = 0;

  protected constructor(
    protected readonly timers: Timers,
    private readonly random: RandomSource,
    private readonly slots: number,
    private readonly serviceMs: number,
    reportMs: number,
  ) {
    timers.every(reportMs, () => {
      this.published = this.running.size + this.waiting.length;
    });
  }

  static create(
    timers: Timers,
    random: RandomSource,
    slots: number,
    serviceMs: number,
    reportMs: number,
  ): FakeService {
    return new FakeService(timers, random, slots, serviceMs, reportMs);
  }

  start(job: FakeJob): void {
    if (this.lost) {
      this.timers.after(REFUSED_AFTER_MS, () => {
        job.done(false);
      });
      return;
    }
    this.waiting.push({ job, order: this.arrivals++ });
    this.fill();
  }

  load(): number {
    return this.published;
  }

  slow(factor: number): void {
    this.factor = factor;
  }

  lose(): void {
    this.lost = true;
    const jobs = [...this.running, ...this.waiting.data.map((entry) => entry.job)];
    this.running.clear();
    while (this.waiting.length > 0) this.waiting.pop();
    for (const job of jobs) job.done(false);
  }

  /** Service time of a job that starts in a batch of the given size, in ms. */
  protected timeOf(job: FakeJob, batch: number): number {
    return batch > 0 && job.priority >= 0 ? this.serviceMs : 0;
  }

  private fill(): void {
    while (this.running.size < this.slots) {
      const entry = this.waiting.pop();
      if (entry === undefined) return;
      this.run(entry.job);
    }
  }

  private run(job: FakeJob): void {
    this.running.add(job);
    const variation = 1 + VARIATION * (2 * this.random.fraction() - 1);
    const ms = this.timeOf(job, this.running.size) * variation * this.factor;
    this.timers.after(ms, () => {
      if (!this.running.delete(job)) return;
      this.busyMs += ms;
      job.done(true);
      this.fill();
    });
  }
}
