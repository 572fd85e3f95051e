import type { ConsolaInstance } from "consola";
import { type Readiness, UnreadyReason } from "../daemon/readiness.js";
import { MemberState } from "../peer/member-state.js";
import type { Members } from "../peer/members.js";
import type { PeerVersions } from "../peer/peer-versions.js";
import type { Updates } from "../peer/updates.js";
import type { RandomSource } from "../random/random-source.js";
import type { Settings } from "../settings/settings.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import { Configuration } from "./configuration.js";
import type { ConfigurationChange } from "./configuration-change.js";
import { ConfigurationCurrency } from "./configuration-currency.js";
import type { ConfigurationHistory } from "./configuration-history.js";
import type { ConfigurationView } from "./configuration-view.js";
import type { PeerChanges } from "./peer-changes.js";
import type { VersionAgreement } from "./version-agreement.js";

/** Reads of the head within the bound, so that one lost read does not end currency. */
const READS_PER_BOUND = 4;
const READ_JITTER_SHARE = 0.25;
const CHECKS_PER_BOUND = 20;
/** Part of the bound without a read after which others are asked; above the interval of reads. */
const ASK_AFTER_SHARE = 0.4;
/** What one instance knows reaches 370 others in about 7 questions of each. */
const ASKS_PER_BOUND = 10;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly settings: Settings;
  readonly members: Members;
  readonly peerVersions: PeerVersions;
  readonly updates: Updates;
  readonly readiness: Readiness;
  readonly configurationHistory: ConfigurationHistory;
  readonly configurationView: ConfigurationView;
  readonly peerChanges: PeerChanges;
  readonly versionAgreement: VersionAgreement;
  readonly log: ConsolaInstance;
}

/**
 * Brings the view to the newest version: by updates, from instances that report a higher version,
 * and by a paced read of the table. Only version N+1 is put on top of N; a snapshot must be higher.
 */
export class ConfigurationFollower {
  private readonly currency: ConfigurationCurrency;
  private subscriptions: Subscription[] = [];
  private nextRead: Subscription | undefined;
  private readonly fetching = new Set<string>();
  private reading: Promise<void> | undefined;

  private constructor(private readonly parts: Parts) {
    this.currency = ConfigurationCurrency.create(parts, parts.settings.bounds.configurationMs);
    parts.readiness.block(UnreadyReason.ConfigurationNotCurrent);
  }

  static create(parts: Parts): ConfigurationFollower {
    return new ConfigurationFollower(parts);
  }

  /** Resolves after the first read of the table, whether it succeeded or not. */
  async start(): Promise<void> {
    const { timers, updates, settings } = this.parts;
    const checkMs = settings.bounds.configurationMs / CHECKS_PER_BOUND;
    this.subscriptions = [
      updates.subscribe((update) => {
        if (update.kind === "configuration") this.learn(update.change);
      }),
      timers.every(checkMs, () => {
        this.check();
      }),
      timers.every(settings.bounds.configurationMs / ASKS_PER_BOUND, () => void this.ask()),
    ];
    await this.read();
    this.scheduleRead();
  }

  stop(): void {
    for (const subscription of this.subscriptions) subscription.cancel();
    this.nextRead?.cancel();
  }

  /** Whether the configuration in force is known to be the newest within the bound. */
  get current(): boolean {
    return this.currency.covers(this.parts.configurationView.version);
  }

  private learn(change: ConfigurationChange): void {
    const { configurationView, log } = this.parts;
    if (change.version > configurationView.version + 1) {
      void this.read();
      return;
    }
    try {
      this.apply([change]);
    } catch (error) {
      log.warn({ message: "configuration change not adopted", detail: String(error) });
    }
  }

  private apply(changes: readonly ConfigurationChange[]): void {
    const { configurationView, peerChanges, log } = this.parts;
    for (const change of changes) {
      const { configuration } = configurationView;
      if (configuration === undefined || change.version !== configuration.version + 1) continue;
      configurationView.adopt(configuration.changedBy(change));
      peerChanges.keep(change);
      log.info({ message: "configuration in force", version: change.version });
    }
  }

  private async fetch(instance: string): Promise<void> {
    if (this.fetching.has(instance)) return;
    this.fetching.add(instance);
    const { peerChanges, configurationView, log } = this.parts;
    try {
      const found = await peerChanges.fetch(instance);
      if (found instanceof Configuration) configurationView.adopt(found);
      else this.apply(found);
    } catch (error) {
      log.warn({ message: "cannot fetch the configuration", instance, detail: String(error) });
    } finally {
      this.fetching.delete(instance);
    }
  }

  /** Asks a random member for what it knows while the table gives no answer. */
  private async ask(): Promise<void> {
    const { settings, members, random, versionAgreement, configurationView } = this.parts;
    const askAfterMs = ASK_AFTER_SHARE * settings.bounds.configurationMs;
    if (configurationView.version === 0 || this.currency.unreadMs < askAfterMs) return;
    const live = members.all().filter(({ state }) => state !== MemberState.Dead);
    const [chosen] = random.sample(live, 1);
    if (chosen === undefined) return;
    try {
      const version = await versionAgreement.ask(chosen.id);
      if (version > configurationView.version) await this.fetch(chosen.id);
    } catch {
      // The next question goes to another member.
    }
  }

  private scheduleRead(): void {
    const { timers, random, settings } = this.parts;
    const interval = settings.bounds.configurationMs / READS_PER_BOUND;
    const jitter = 1 + READ_JITTER_SHARE * (2 * random.fraction() - 1);
    this.nextRead = timers.after(interval * jitter, () => {
      this.scheduleRead();
      void this.read();
    });
  }

  /** A read that is under way serves all who ask for one. */
  private read(): Promise<void> {
    this.reading ??= this.readTable().finally(() => {
      this.reading = undefined;
    });
    return this.reading;
  }

  private async readTable(): Promise<void> {
    const { configurationHistory, configurationView, timers, log } = this.parts;
    const start = timers.now();
    try {
      const head = await configurationHistory.head();
      const version = head?.version ?? 0;
      if (version === configurationView.version + 1 && version > 1) {
        this.apply(await configurationHistory.changesAfter(version - 1));
      }
      if (version > configurationView.version) {
        const newest = await configurationHistory.newest();
        if (newest !== undefined && configurationView.adopt(newest)) {
          log.info({ message: "configuration in force", version: newest.version });
        }
      }
      // Counts from before the read, since a change may be accepted while the answer travels.
      if (version > 0 && configurationView.version >= version)
        this.parts.versionAgreement.confirmed(start);
    } catch (error) {
      log.warn({ message: "cannot read the configuration", detail: String(error) });
    }
    this.check();
  }

  private check(): void {
    const { readiness, peerVersions, configurationView } = this.parts;
    for (const { instance, version } of peerVersions.versions()) {
      if (version > configurationView.version) void this.fetch(instance);
    }
    if (this.current) readiness.clear(UnreadyReason.ConfigurationNotCurrent);
    else readiness.block(UnreadyReason.ConfigurationNotCurrent);
  }
}
