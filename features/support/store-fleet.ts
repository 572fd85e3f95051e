import type { ConsolaInstance } from "consola";
import { DecisionLines } from "../../src/forward/decision-lines.js";
import type { RowChange, RowFeed } from "../../src/forward/row-feed.js";
import { RowFollower } from "../../src/forward/row-follower.js";
import { rowQuerySchema } from "../../src/forward/row-update.js";
import type { SizedInstance } from "../../src/forward/instance-size.js";
import { storeReaders } from "../../src/forward/store-readers.js";
import { StoreTable } from "../../src/forward/store-table.js";
import { MemberState } from "../../src/peer/member-state.js";
import type { Members } from "../../src/peer/members.js";
import { PeerMethod } from "../../src/peer/peer-method.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { MemoryPeers } from "./memory-peers.js";

const READ_WAIT_MS = 1_000;
const CALL_TIMEOUT_MS = 700;
const POLL_INTERVAL_MS = 10;

/** The state of the store at one moment. */
export interface StoreState {
  readonly rows: ReadonlyMap<string, { text: string | undefined; version: number }>;
  readonly version: number;
}

interface Instance {
  readonly id: string;
  readonly follower: RowFollower;
  /** Texts by key, as last reported to the instance. */
  readonly known: Map<string, string | undefined>;
  /** Whether the store does not answer this instance. */
  storeUnavailable: boolean;
  frozen: boolean;
}

/** Instances that follow one table of an in-memory store, on a manual clock. */
export class StoreFleet {
  readonly timers = ManualTimers.create();
  readonly instances: Instance[] = [];
  readCalls = 0;
  /** Texts that an instance was told after a text that is a larger number. */
  regressions = 0;
  private readonly peers = new MemoryPeers();
  private readonly rows = new Map<string, { text: string | undefined; version: number }>();
  private version = 0;
  private era = 1;

  private constructor(private readonly ids: readonly string[]) {}

  /** Cores of the instances that do not have 1 core. */
  readonly cores = new Map<string, number>();
  /** Row queries received, by instance. */
  readonly queryCounts = new Map<string, number>();

  static create(count: number): StoreFleet {
    const fleet = new StoreFleet(Array.from({ length: count }, (_, at) => `i${at}`));
    fleet.put("row", "0");
    for (const id of fleet.ids) fleet.add(id);
    return fleet;
  }

  get readers(): readonly string[] {
    return storeReaders(StoreTable.Configuration, this.sizedInstances);
  }

  put(key: string, text: string | undefined): void {
    this.version += 1;
    this.rows.set(key, { text, version: this.version });
  }

  /** Comes back from a copy of an earlier moment. */
  restore({ rows, version }: StoreState): void {
    this.rows.clear();
    for (const [key, row] of rows) this.rows.set(key, row);
    this.version = version;
    this.era += 1;
  }

  copy(): StoreState {
    return { rows: new Map(this.rows), version: this.version };
  }

  find(id: string): Instance {
    const instance = this.instances.find((each) => each.id === id);
    if (instance === undefined) throw new Error(`no instance "${id}"`);
    return instance;
  }

  /** Freezes an instance: calls to it get no answer. */
  freeze(id: string): void {
    this.find(id).frozen = true;
  }

  private get sizedInstances(): SizedInstance[] {
    return this.ids.map((id) => ({ id, cores: this.coresOf(id) }));
  }

  private coresOf(id: string): number {
    return this.cores.get(id) ?? 1;
  }

  private add(id: string): void {
    const known = new Map<string, string | undefined>();
    const { timers } = this;
    const members: Members = {
      self: id,
      all: () =>
        this.ids
          .filter((each) => each !== id)
          .map((each) => ({
            id: each,
            dataCentre: "a",
            incarnation: 1,
            peerAddress: `http://${each}`,
            cores: this.coresOf(each),
            state: MemberState.Alive,
          })),
      find: () => undefined,
      subscribe: () => ({ cancel: () => undefined }),
    };
    const log = { info: () => undefined } as unknown as ConsolaInstance;
    const follower = RowFollower.create(
      {
        self: id,
        cores: this.coresOf(id),
        timers,
        random: RandomSource.create(1),
        loopDelay: { recentMs: 0 },
        members,
        rowFeed: this.rowFeedOf(id),
        peerCalls: {
          call: (peer, method, params, limitMs) => this.callPeer(peer, method, params, limitMs),
        },
        decisionLines: DecisionLines.create({ log, timers }),
      },
      StoreTable.Configuration,
      { waitMs: READ_WAIT_MS, pauseMs: 0 },
      { isOlder: (_key, read, remembered) => Number(read ?? -1) < Number(remembered) },
      (changes) => {
        for (const [key, text] of changes) {
          if (Number(text) < Number(known.get(key))) this.regressions += 1;
          known.set(key, text);
        }
        return changes.map(([key]) => key);
      },
    );
    this.peers.methodsOf(id).register(PeerMethod.StoreRows, (params) => {
      return follower.answerQuery(rowQuerySchema.parse(params));
    });
    this.instances.push({ id, follower, known, storeUnavailable: false, frozen: false });
    void follower.run();
  }

  private async callPeer(
    peer: string,
    method: PeerMethod,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const timeout = this.timers.sleep(timeoutMs).then(() => {
      throw new Error("no answer in time");
    });
    timeout.catch(() => undefined);
    this.queryCounts.set(peer, (this.queryCounts.get(peer) ?? 0) + 1);
    if (this.find(peer).frozen) return timeout;
    return Promise.race([this.peers.call(peer, method, params), timeout]);
  }

  private rowFeedOf(id: string): RowFeed {
    const simulateCall = async (waitMs: number): Promise<void> => {
      const instance = this.instances.find((each) => each.id === id);
      this.readCalls += 1;
      if (instance?.storeUnavailable !== true) return;
      await this.timers.sleep(waitMs + CALL_TIMEOUT_MS);
      throw new Error("no answer in time");
    };
    const changesSince = (version: number): RowChange[] =>
      [...this.rows]
        .filter(([, row]) => row.version > version)
        .map(([key, { text }]): RowChange => [key, text]);
    return {
      readAll: async () => {
        await simulateCall(0);
        const rows = changesSince(-1).flatMap(([key, text]) =>
          text === undefined ? [] : [[key, text] as const],
        );
        return { rows, era: this.era, version: this.version };
      },
      readChanges: async (_table, version, waitMs) => {
        await simulateCall(waitMs);
        if (version > this.version) return { kind: "forgotten" };
        const end = this.timers.now() + waitMs;
        while (changesSince(version).length === 0 && this.timers.now() < end) {
          await this.timers.sleep(POLL_INTERVAL_MS);
        }
        const changes = changesSince(version);
        return { kind: "changes", changes, era: this.era, version: this.version };
      },
      put: () => Promise.resolve(),
    };
  }
}
