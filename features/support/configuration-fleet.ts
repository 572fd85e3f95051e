import { createConsola } from "consola";
import type { ConfigurationUpdate } from "../../src/configuration/configuration-change.js";
import { ConfigurationFollower } from "../../src/configuration/configuration-follower.js";
import { ConfigurationHistory } from "../../src/configuration/configuration-history.js";
import { ConfigurationView } from "../../src/configuration/configuration-view.js";
import { PeerChanges } from "../../src/configuration/peer-changes.js";
import { VersionAgreement } from "../../src/configuration/version-agreement.js";
import { Section } from "../../src/configuration/section.js";
import { TableConfigurationRegistry } from "../../src/configuration/table-configuration-registry.js";
import { Readiness, UnreadyReason } from "../../src/daemon/readiness.js";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { MemberState } from "../../src/peer/member-state.js";
import type { PeerHandler } from "../../src/peer/peer-methods.js";
import type { Update } from "../../src/peer/update.js";
import type { Table } from "../../src/table/table.js";
import { RandomSource } from "../../src/random/random-source.js";
import type { Settings } from "../../src/settings/settings.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { MemoryTable } from "../../standin/memory-table.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";

const CONFIGURATION_MS = 5_000;

/** One instance's part in the configuration. */
export interface ConfigurationInstance {
  readonly view: ConfigurationView;
  readonly registry: TableConfigurationRegistry;
  readonly readiness: Readiness;
  readonly follower: ConfigurationFollower;
  /** Versions that went into force, in order. */
  readonly adopted: number[];
  readonly handler: PeerHandler;
  readonly receive: (update: Update) => void;
}

/** Instances that follow the configuration in one table, on manual timers. */
export class ConfigurationFleet {
  readonly timers = ManualTimers.create(1_000_000);
  readonly table = MemoryTable.create(this.timers);
  readonly instances = new Map<string, ConfigurationInstance>();
  /** Instances that reach only each other. */
  readonly isolated = new Set<string>();
  /** Instances that cannot reach the table. */
  readonly withoutTable = new Set<string>();
  readonly history = ConfigurationHistory.create({ table: this.table });
  broadcasts = true;

  private constructor(private readonly ids: readonly string[]) {}

  static async create(ids: readonly string[]): Promise<ConfigurationFleet> {
    const fleet = new ConfigurationFleet(ids);
    const stored = fleet.history.initialise(sampleConfiguration([]), "initial-change");
    await fleet.timers.advance(0);
    await stored;
    return fleet;
  }

  get(id: string): ConfigurationInstance {
    const known = this.instances.get(id);
    if (known === undefined) throw new Error(`no instance ${id}`);
    return known;
  }

  async start(id: string): Promise<void> {
    const { timers } = this;
    const random = RandomSource.create(this.instances.size + 1);
    const log = createConsola({ level: -1 });
    const table = this.reach(id);
    const configurationView = ConfigurationView.create();
    const configurationHistory = ConfigurationHistory.create({ table });
    const readiness = Readiness.create();
    readiness.clear(UnreadyReason.Starting);
    let handler: PeerHandler | undefined;
    const handlers: ((update: Update) => void)[] = [];
    const peerChanges = PeerChanges.create({
      configurationView,
      peerCalls: { call: (to, _method, params) => this.call(id, to, params) },
      peerMethods: { register: (_method, given) => (handler = given) },
    });
    const updates = {
      publish: (update: Update) => {
        this.publish(id, update);
      },
      subscribe: (given: (update: Update) => void) => {
        handlers.push(given);
        return { cancel: () => undefined };
      },
    };
    const parts = { timers, random, log, table, updates, configurationHistory, configurationView };
    const settings = { bounds: { configurationMs: CONFIGURATION_MS } } as Settings;
    const others = {
      members: this.membersOf(id),
      peerVersions: { versions: () => this.versionsFor(id) },
    };
    const versionAgreement = VersionAgreement.create({
      ...{ ...parts, ...others, settings },
      // In a small fleet the heartbeats alone decide.
      peerCalls: { call: (instance) => Promise.reject(new Error(`no way to ${instance}`)) },
      peerMethods: { register: () => undefined },
    });
    const follower = ConfigurationFollower.create({
      ...{ ...parts, ...others, settings, readiness, peerChanges, versionAgreement },
    });
    const adopted: number[] = [];
    configurationView.subscribe(({ version }) => adopted.push(version));
    if (handler === undefined) throw new Error("no handler was registered");
    this.instances.set(id, {
      ...{ view: configurationView, readiness, follower, adopted, handler },
      registry: TableConfigurationRegistry.create({ ...parts, peerChanges }),
      receive: (update) => {
        for (const each of handlers) each(update);
      },
    });
    const started = follower.start();
    await timers.advance(2_000);
    await started;
  }

  private publish(from: string, update: Update): void {
    if (!this.broadcasts) return;
    for (const [to, instance] of this.instances) {
      if (to !== from && this.reachable(from, to)) instance.receive(update);
    }
  }

  private async call(from: string, to: string, params: unknown): Promise<unknown> {
    await this.timers.sleep(1);
    const answer = this.reachable(from, to) ? this.instances.get(to)?.handler(params, from) : null;
    return answer ?? Promise.reject(ServeError.create(ErrorKind.PeerUnavailable, to));
  }

  private reachable(from: string, to: string): boolean {
    return this.isolated.has(from) === this.isolated.has(to);
  }

  private versionsFor(id: string): { instance: string; version: number; ageMs: number }[] {
    return [...this.instances]
      .filter(([other]) => other !== id && this.reachable(id, other))
      .map(([instance, { view }]) => ({ instance, version: view.version, ageMs: 0 }));
  }

  private membersOf(self: string) {
    const member = (id: string) => ({
      ...{
        id,
        incarnation: 1,
        dataCentre: "fes-a",
        peerAddress: "",
        cores: 1,
        state: MemberState.Alive,
      },
    });
    const all = this.ids.filter((id) => id !== self).map(member);
    return {
      self,
      all: () => all,
      find: () => undefined,
      subscribe: () => ({ cancel: () => undefined }),
    };
  }

  private reach(id: string): Table {
    const { table } = this;
    const reached = <Result>(send: () => Promise<Result>): Promise<Result> =>
      this.withoutTable.has(id)
        ? Promise.reject(ServeError.create(ErrorKind.TableUnavailable, "cut off"))
        : send();
    return {
      get: (key) => reached(() => table.get(key)),
      query: (...args) => reached(() => table.query(...args)),
      transact: (...args) => reached(() => table.transact(...args)),
    };
  }

  /** An update that adds a model. */
  static update(name: string): ConfigurationUpdate {
    return { kind: "put", section: Section.Models, entry: { name, bytes: 1 } };
  }
}
