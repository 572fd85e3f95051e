import type { ListedInstance } from "../../src/table/listed-instance.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { NetworkMember } from "../../standin/network-member.js";
import { type NetworkPort, PeerNetwork } from "../../standin/peer-network.js";
import { divisions } from "./divisions.js";
import type { SpreadFigures } from "./spread-figures.js";

const SEED = 20_261_204;
const EPOCH_MS = 1_800_000_000_000;
const REGIONS = 3;
const DEAD_SHARE = 0.1;
const STEP_MS = 100;
const WINDOW_MS = 10_000;
const LIMIT_MS = 60_000;
const SETTLE_MS = 20_000;
const CUT_MS = 20_000;
const QUIET_UPDATES = 5;
const UPDATE_INTERVAL_MS = 2_000;
/** About the size of a configuration change. */
const UPDATE_TEXT = "x".repeat(400);

const demand = {
  services: Object.fromEntries(Array.from({ length: 12 }, (_, at) => [`service-${at}`, 1_000.5])),
  teams: Object.fromEntries(Array.from({ length: 8 }, (_, at) => [`team-${at}`, 100.25])),
};

/** One variant in a fleet of one size, with a fixed seed. */
export class SpreadRun {
  private readonly clock = ManualTimers.create(EPOCH_MS);
  private readonly random = RandomSource.create(SEED);
  private readonly network = PeerNetwork.create(this.clock, this.random);
  private readonly members: NetworkMember[] = [];
  private readonly received = new Map<string, Set<string>>();
  private windowBytes = new Map<NetworkPort, number>();
  private peakBytes = 0;
  private listed: readonly ListedInstance[] = [];
  private published = 0;

  private constructor(
    private readonly variant: string,
    private readonly size: number,
  ) {}

  static create(variant: string, size: number): SpreadRun {
    return new SpreadRun(variant, size);
  }

  async measure(): Promise<SpreadFigures> {
    await this.start();
    const deadMs = await this.spreadTime(0);
    await this.pass(SETTLE_MS);
    const { quietBytes, calls, mostCalls } = await this.quiet();
    const frozenMs = await this.frozen();
    const cutMs = await this.cut();
    const totalBytes = this.sent() / this.size / (this.clock.now() / 1_000);
    const { variant, size: members, peakBytes } = this;
    return {
      ...{ variant, members, quietBytes, totalBytes, peakBytes },
      ...{ calls, mostCalls, deadMs, frozenMs, cutMs },
    };
  }

  /** Starts a fleet of which a tenth of the listed members is dead and not yet known as dead. */
  private async start(): Promise<void> {
    for (let at = 0; at < this.size; at += 1) this.members.push(this.member(at));
    this.listed = this.members.map(({ listed }) => listed);
    const dead = Math.ceil(this.size * DEAD_SHARE);
    const killed = this.random.sample(this.members.slice(1), dead);
    for (const member of killed) member.kill();
    await Promise.all(this.running().map((member) => member.start()));
    await this.pass(WINDOW_MS / 10);
  }

  private member(at: number): NetworkMember {
    const division = divisions[this.variant]?.(this.random);
    const member = NetworkMember.create(this.clock, this.network, {
      id: `instance-${at}`,
      region: `region-${at % REGIONS}`,
      seed: SEED + at,
      list: () => this.listed,
      demand,
      ...(division === undefined ? {} : { division }),
    });
    const received = new Set<string>();
    this.received.set(member.id, received);
    member.parts.updates.subscribe((update) => {
      if (update.kind === "crash-acquittal") received.add(update.contentDigest);
    });
    return member;
  }

  private async quiet(): Promise<Pick<SpreadFigures, "quietBytes" | "calls" | "mostCalls">> {
    const bytes = this.sent();
    const before = this.running().map(({ port }) => port.broadcasts);
    for (let at = 0; at < QUIET_UPDATES; at += 1) {
      this.publish(at);
      await this.pass(UPDATE_INTERVAL_MS);
    }
    const calls = this.running().map(({ port }, at) => port.broadcasts - (before[at] ?? 0));
    const seconds = (QUIET_UPDATES * UPDATE_INTERVAL_MS) / 1_000;
    return {
      quietBytes: (this.sent() - bytes) / this.running().length / seconds,
      calls: calls.reduce((sum, count) => sum + count, 0) / QUIET_UPDATES,
      mostCalls: Math.max(...calls),
    };
  }

  private async frozen(): Promise<number> {
    const [member] = this.random.sample(this.running().slice(1), 1);
    member?.freeze();
    const time = await this.spreadTime(0);
    await this.pass(SETTLE_MS / 2);
    member?.thaw();
    await this.pass(SETTLE_MS / 2);
    return time;
  }

  /** Time from the end of a cut to the last instance, for an update published during the cut. */
  private async cut(): Promise<number> {
    this.network.cut("region-1");
    await this.pass(CUT_MS / 2);
    const id = this.publish(0);
    await this.pass(CUT_MS / 2);
    this.network.join("region-1");
    const time = await this.timeOf(id);
    await this.pass(SETTLE_MS);
    return time;
  }

  private publish(by: number): string {
    this.published += 1;
    const contentDigest = `digest-${this.published}`;
    const update = { kind: "crash-acquittal", team: UPDATE_TEXT, contentDigest } as const;
    const origin = this.running()[by];
    origin?.parts.updates.publish(update);
    if (origin !== undefined) this.received.get(origin.id)?.add(contentDigest);
    return contentDigest;
  }

  private spreadTime(by: number): Promise<number> {
    return this.timeOf(this.publish(by));
  }

  private async timeOf(id: string): Promise<number> {
    const start = this.clock.now();
    const missing = (): boolean =>
      this.running().some((member) => this.received.get(member.id)?.has(id) !== true);
    while (missing() && this.clock.now() - start < LIMIT_MS) await this.pass(STEP_MS);
    return missing() ? Infinity : this.clock.now() - start;
  }

  private async pass(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.clock.advance(STEP_MS);
      if (Math.round(this.clock.now()) % WINDOW_MS === 0) this.noteWindow();
    }
  }

  private noteWindow(): void {
    for (const { port } of this.members) {
      const bytes = port.sentBytes - (this.windowBytes.get(port) ?? 0);
      this.peakBytes = Math.max(this.peakBytes, bytes / (WINDOW_MS / 1_000));
      this.windowBytes.set(port, port.sentBytes);
    }
  }

  private running(): NetworkMember[] {
    return this.members.filter(({ port }) => port.up);
  }

  private sent(): number {
    return this.members.reduce((sum, { port }) => sum + port.sentBytes, 0);
  }
}
