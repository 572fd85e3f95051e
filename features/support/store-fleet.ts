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

const WAIT_MS = 1_000;
const CALL_MS = 700;
const STEP_MS = 10;

interface Instance {
  readonly id: string;
  readonly follower: RowFollower;
  /** Texts by key as the instance knows them. */
  readonly known: Map<string, string | undefined>;
  /** Keeps the store from answering this instance. */
  turnedAway: boolean;
  frozen: boolean;
}

/** Instances that follow one table of a store in memory, on the manual clock. */
export class StoreFleet {
  readonly timers = ManualTimers.create();
  readonly instances: Instance[] = [];
  readCalls = 0;
  private readonly peers = new MemoryPeers();
  private readonly rows = new Map<string, { text: string | undefined; version: number }>();
  private version = 0;

  private constructor(private readonly ids: readonly string[]) {}

  /** Instances of another size than 1 core. */
  readonly cores = new Map<string, number>();
  /** Questions that each instance got. */
  readonly questions = new Map<string, number>();

  static create(count: number): StoreFleet {
    const fleet = new StoreFleet(Array.from({ length: count }, (_, at) => `i${at}`));
    fleet.put("row", "0");
    for (const id of fleet.ids) fleet.add(id);
    return fleet;
  }

  get readers(): readonly string[] {
    return storeReaders(StoreTable.Configuration, this.sized);
  }

  put(key: string, text: string | undefined): void {
    this.version += 1;
    this.rows.set(key, { text, version: this.version });
  }

  find(id: string): Instance {
    const instance = this.instances.find((each) => each.id === id);
    if (instance === undefined) throw new Error(`no instance "${id}"`);
    return instance;
  }

  /** Freezes an instance: its calls and the calls to it get no answer. */
  freeze(id: string): void {
    this.find(id).frozen = true;
  }

  private get sized(): SizedInstance[] {
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
        members,
        rowFeed: this.feedOf(id),
        peerCalls: {
          call: (peer, method, params, limitMs) => this.ask(peer, method, params, limitMs),
        },
        decisionLines: DecisionLines.create({ log, timers }),
      },
      StoreTable.Configuration,
      { waitMs: WAIT_MS, pauseMs: 0 },
      (changes) => {
        for (const [key, text] of changes) known.set(key, text);
        return changes.map(([key]) => key);
      },
    );
    this.peers.methodsOf(id).register(PeerMethod.StoreRows, (params) => {
      return follower.answerQuery(rowQuerySchema.parse(params));
    });
    this.instances.push({ id, follower, known, turnedAway: false, frozen: false });
    void follower.run();
  }

  private async ask(
    peer: string,
    method: PeerMethod,
    params: unknown,
    limitMs: number,
  ): Promise<unknown> {
    const late = this.timers.sleep(limitMs).then(() => {
      throw new Error("no answer in time");
    });
    late.catch(() => undefined);
    this.questions.set(peer, (this.questions.get(peer) ?? 0) + 1);
    if (this.find(peer).frozen) return late;
    return Promise.race([this.peers.call(peer, method, params), late]);
  }

  private feedOf(id: string): RowFeed {
    const answers = async (waitMs: number): Promise<void> => {
      const instance = this.instances.find((each) => each.id === id);
      this.readCalls += 1;
      if (instance?.turnedAway !== true) return;
      await this.timers.sleep(waitMs + CALL_MS);
      throw new Error("no answer in time");
    };
    const since = (version: number): RowChange[] =>
      [...this.rows]
        .filter(([, row]) => row.version > version)
        .map(([key, { text }]): RowChange => [key, text]);
    return {
      readAll: async () => {
        await answers(0);
        const rows = since(-1).flatMap(([key, text]) =>
          text === undefined ? [] : [[key, text] as const],
        );
        return { rows, version: this.version };
      },
      readChanges: async (_table, version, waitMs) => {
        await answers(waitMs);
        const end = this.timers.now() + waitMs;
        while (since(version).length === 0 && this.timers.now() < end) {
          await this.timers.sleep(STEP_MS);
        }
        return { kind: "changes", changes: since(version), version: this.version };
      },
      put: () => Promise.resolve(),
    };
  }
}
