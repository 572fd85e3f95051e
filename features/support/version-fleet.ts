import type { UpstreamEntry } from "../../src/forward/upstream-entry.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { entryOf } from "./forward-samples.js";
import { MemoryPeers } from "./memory-peers.js";
import { MemoryUpdates } from "./memory-updates.js";
import { SERVICE, STREAM_ROUTE, VersionInstance, type VersionSite } from "./version-instance.js";
import { VersionRows } from "./version-rows.js";

const ENGINES = 12;
/** Longest time after which an instance has read a change of the engines. */
const LIST_LAG_MS = 1_500;
const DOWN_MS = 1_000;
const STREAM_MS = 3_000;
/** Share of the engines that an instance finds usable. */
const USABLE_SHARE = 0.9;
const MS_PER_SECOND = 1_000;

/** Instances that decide on versions before engines that are replaced, on a manual clock. */
export class VersionFleet {
  readonly timers = ManualTimers.create();
  readonly rows = VersionRows.create(this.timers);
  /** Streams by the version that began them. */
  readonly begun = new Map<string, number>();
  joined = 0;
  resumed = 0;
  /** Resumptions whose version had two engines at least. */
  resumable = 0;
  continued = 0;
  /** Share of the streams for which an instance finds engines of one version only usable. */
  oneVersionShare = 0;
  private readonly random: RandomSource;
  private readonly running = new Set<string>();
  private readonly site: VersionSite;
  private readonly engines = new Map<string, UpstreamEntry>();
  private instances: VersionInstance[] = [];
  private started = 0;
  private sent = 0;

  private constructor(
    private readonly count: number,
    seed: number,
  ) {
    this.random = RandomSource.create(seed);
    const { timers, random, rows, running } = this;
    const peers = new MemoryPeers();
    this.site = { timers, random, rows, running, peers, updates: MemoryUpdates.create(timers) };
  }

  static async create(
    count: number,
    versions: readonly string[],
    seed: number,
  ): Promise<VersionFleet> {
    const fleet = new VersionFleet(count, seed);
    for (let at = 0; at < ENGINES; at += 1)
      fleet.setEngine(`e${at}`, versions[at % versions.length] ?? "");
    fleet.startAll();
    await fleet.timers.advance(8 * MS_PER_SECOND);
    return fleet;
  }

  /** Replaces engines one after the other by those of another version. */
  async release(version: string, gapMs: number): Promise<void> {
    for (let at = 0; at < ENGINES; at += 1) {
      this.setEngine(`e${at}`, version);
      await this.timers.advance(gapMs);
    }
  }

  /** Ends all instances at the same moment; others start, which know nothing. */
  async replaceAll(): Promise<void> {
    for (const instance of this.instances) instance.stop();
    this.instances = [];
    this.running.clear();
    await this.timers.advance(DOWN_MS);
    this.startAll();
  }

  /** Sends streams for some seconds; each breaks off at a random moment and is resumed. */
  send(perSecond: number, seconds: number): Promise<void> {
    const streams: Promise<void>[] = [];
    const total = perSecond * seconds;
    for (let at = 0; at < total; at += 1) {
      const delayMs = this.random.fraction() * seconds * MS_PER_SECOND;
      streams.push(this.timers.sleep(delayMs).then(() => this.stream()));
    }
    return Promise.all(streams).then(() => undefined);
  }

  private setEngine(name: string, version: string): void {
    const previous = [...this.engines.keys()].find((id) => id.startsWith(`${name} `));
    if (previous !== undefined) this.engines.delete(previous);
    const id = `${name} ${version}`;
    this.engines.set(id, entryOf({ id, service: SERVICE, softwareVersion: version }));
    for (const instance of this.instances) {
      const lagMs = this.random.fraction() * LIST_LAG_MS;
      this.timers.after(lagMs, () => {
        instance.list(this.engines);
      });
    }
  }

  private startAll(): void {
    for (let at = 0; at < this.count; at += 1) {
      const id = `i${this.started}`;
      this.started += 1;
      this.running.add(id);
      const instance = VersionInstance.create(id, this.site);
      instance.list(this.engines);
      this.instances.push(instance);
    }
  }

  private async stream(): Promise<void> {
    const instance = this.random.sample(this.instances, 1)[0];
    if (instance === undefined) return;
    const attemptId = `a${this.sent}`;
    this.sent += 1;
    const attributes = { attemptId, resumes: undefined, lastEventId: undefined };
    const version = await instance.versions.choose({
      ...{ route: STREAM_ROUTE, service: SERVICE, attributes },
    });
    const usable = this.usableAt(instance);
    const excluded = new Set(version.excluded(instance.entries, ({ id }) => usable.has(id)));
    const left = instance.entries.filter(({ id }) => usable.has(id) && !excluded.has(id));
    const entry = this.random.sample(left, 1)[0];
    if (entry === undefined) return;
    // A stream that is held is complete when its caller gets it.
    if ((await version.begin(entry)) === false) return;
    version.recordEvents(entry);
    const { softwareVersion } = entry;
    this.begun.set(softwareVersion, (this.begun.get(softwareVersion) ?? 0) + 1);
    await this.timers.sleep(this.random.fraction() * STREAM_MS);
    while (this.instances.length === 0) await this.timers.sleep(MS_PER_SECOND / 10);
    await this.resume(attemptId, softwareVersion);
  }

  /** IDs of the engines that an instance finds usable for one stream. */
  private usableAt({ entries }: VersionInstance): Set<string> {
    const { random } = this;
    const one = random.fraction() < this.oneVersionShare ? random.sample(entries, 1)[0] : undefined;
    const usable = entries.filter(
      ({ softwareVersion }) =>
        (one === undefined || softwareVersion === one.softwareVersion) &&
        random.fraction() < USABLE_SHARE,
    );
    return new Set(usable.map(({ id }) => id));
  }

  private async resume(resumes: string, begun: string): Promise<void> {
    const instance = this.random.sample(this.instances, 1)[0];
    if (instance === undefined) return;
    this.resumed += 1;
    const serving = instance.entries.filter(({ softwareVersion }) => softwareVersion === begun);
    if (serving.length > 1) this.resumable += 1;
    const attributes = { attemptId: `${resumes}-again`, resumes, lastEventId: "1" };
    const input = { route: STREAM_ROUTE, service: SERVICE, attributes };
    try {
      const version = await instance.versions.choose(input);
      const excluded = new Set(version.excluded(instance.entries, () => true));
      const left = instance.entries.filter(({ id }) => !excluded.has(id));
      if (left.some(({ softwareVersion }) => softwareVersion !== begun)) this.joined += 1;
      else if (serving.length > 1) this.continued += 1;
    } catch {
      // Refused as not run.
    }
  }
}
