import type { ConsolaInstance } from "consola";
import { PromptGuard } from "../../src/crash/prompt-guard.js";
import { DecisionLines } from "../../src/forward/decision-lines.js";
import { hashFraction } from "../../src/forward/hash-fraction.js";
import { type Update, updateSchema } from "../../src/peer/update.js";
import type { Member } from "../../src/peer/member.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { aliveMemberOf } from "./alive-member.js";

const SERVICE = "engines";
const MS_PER_SECOND = 1_000;
const MIN_BROADCAST_MS = 20;
/** Measured times of a broadcast with a dead member, by number of instances. */
const BROADCAST_MS: Readonly<Record<number, number>> = { 8: 100, 62: 500, 195: 700, 370: 800 };
const MIN_ENGINES = 8;
const ENGINES_PER_INSTANCE = 3;
const REQUESTS_PER_INSTANCE = 3;
/** Time from the arrival at an engine to the head of the response; varies by half. */
const PREFILL_MS = 300;
/** Time from the head to the first event. */
const FIRST_EVENT_MS = 40;
const RESTART_MS = 3_000;
const FIRST_PARTS = 3;
const SUBJECTS = 70;
const WARMUP_S = 20;

/** Load of a trial. */
export interface GuardLoad {
  readonly instances: number;
  /** Share of requests with a part that crashes engines. */
  readonly share: number;
  /** Parts of a prompt, with the last one. */
  readonly parts: number;
  /** Different parts that crash engines. */
  readonly deadly: number;
  readonly seconds: number;
  readonly seed: number;
}

interface Running {
  readonly guard: PromptGuard;
  readonly parts: readonly string[];
  phase: "waiting" | "begun" | "answered";
}

interface Engine {
  readonly id: string;
  boots: number;
  up: boolean;
  running: Set<Running>;
}

/** Instances with the real guard of prompts before engines that end, on a manual clock. */
export class GuardFleet {
  readonly timers = ManualTimers.create();
  /** Crashes under each deadly part. */
  readonly lost = new Map<string, number>();
  /** Times at which requests with a deadly part reached engines, in ms. */
  readonly deadlyArrivals: number[] = [];
  readonly crashTimes: number[] = [];
  readonly guards: PromptGuard[] = [];
  soundRequests = 0;
  soundRefused = 0;
  updateBytes = 0;
  private readonly engines: Engine[];
  private readonly members: Member[];
  private readonly handlers: ((update: Update) => void)[] = [];
  private readonly random: RandomSource;

  private constructor(private readonly load: GuardLoad) {
    this.random = RandomSource.create(0x9e3779b1 + load.seed);
    const engines = Math.max(MIN_ENGINES, load.instances * ENGINES_PER_INSTANCE);
    this.engines = Array.from({ length: engines }, (_, at) => {
      return { id: `e${at}`, boots: 0, up: true, running: new Set() };
    });
    this.members = Array.from({ length: load.instances }, (_, at) => aliveMemberOf(`i${at}`));
    for (let at = 0; at < load.instances; at += 1) this.guards.push(this.createGuard(at));
  }

  static create(load: GuardLoad): GuardFleet {
    return new GuardFleet(load);
  }

  /** Runs sound requests for a while, then deadly ones beside them. */
  async run(): Promise<void> {
    const perSecond = this.load.instances * REQUESTS_PER_INSTANCE;
    this.arrive(perSecond, WARMUP_S * MS_PER_SECOND, () => 0);
    await this.timers.advance(WARMUP_S * MS_PER_SECOND);
    this.soundRequests = 0;
    this.arrive(perSecond, this.load.seconds * MS_PER_SECOND, () => this.load.share);
    await this.timers.advance(this.load.seconds * MS_PER_SECOND);
  }

  /** Ends single engines every second on average, and half of them at once every 10 s. */
  scheduleCrashes(): void {
    const crashSome = (meanMs: number, count: number): void => {
      this.timers.after(this.random.exponential(meanMs), () => {
        const up = this.engines.filter((engine) => engine.up);
        for (const engine of this.random.sample(up, count)) this.crash(engine);
        crashSome(meanMs, count);
      });
    };
    crashSome(MS_PER_SECOND, 1);
    crashSome(10 * MS_PER_SECOND, this.engines.length / 2);
  }

  get convictions(): number {
    return Math.max(...this.guards.map((guard) => guard.list().length));
  }

  private arrive(perSecond: number, totalMs: number, share: () => number): void {
    const endMs = this.timers.now() + totalMs;
    const next = (): void => {
      this.timers.after(this.random.exponential(MS_PER_SECOND / perSecond), () => {
        if (this.timers.now() >= endMs) return;
        this.send(this.random.fraction() < share());
        next();
      });
    };
    next();
  }

  private send(deadly: boolean): void {
    const { random, load } = this;
    const first = random.below(FIRST_PARTS);
    const subject = `s${first}-${random.below(SUBJECTS)}`;
    const middle = Array.from(
      { length: Math.max(0, load.parts - 3) },
      (_, at) => `m${first}-${at}`,
    );
    const parts = load.parts > 2 ? [`f${first}`, ...middle, subject] : [`f${first}`];
    const poison = deadly ? `dead-${random.below(load.deadly)}` : undefined;
    if (poison !== undefined) parts.splice(random.below(parts.length + 1), 0, poison);
    const guard = this.guards[random.below(this.guards.length)];
    if (guard === undefined) return;
    if (!deadly) this.soundRequests += 1;
    try {
      guard.admit(SERVICE, parts);
    } catch {
      if (!deadly) this.soundRefused += 1;
      return;
    }
    this.dispatchLater(guard, parts, poison);
  }

  private dispatchLater(guard: PromptGuard, parts: string[], poison: string | undefined): void {
    const pauseMs = guard.pauseMs(SERVICE, parts);
    if (pauseMs > 0) {
      this.timers.after(pauseMs, () => {
        this.dispatchLater(guard, parts, poison);
      });
      return;
    }
    if (guard.isConvicted(SERVICE, parts)) return;
    const prefix = guard.suspectAmong(SERVICE, parts) ?? parts.at(-1) ?? "";
    const engine = this.engines
      .filter(({ up }) => up)
      .map((each) => ({ each, weight: hashFraction(`${prefix} ${each.id}`) }))
      .reduce<{ each: Engine; weight: number } | undefined>(
        (best, next) => (best === undefined || next.weight > best.weight ? next : best),
        undefined,
      )?.each;
    if (engine === undefined) return;
    if (poison !== undefined) this.deadlyArrivals.push(this.timers.now());
    this.dispatch({ guard, parts, phase: "waiting" }, engine, poison);
  }

  private dispatch(running: Running, engine: Engine, poison: string | undefined): void {
    const { boots } = engine;
    engine.running.add(running);
    const ifUp = (handler: () => void) => (): void => {
      if (engine.up && engine.boots === boots) handler();
    };
    const prefillMs = PREFILL_MS * (0.5 + this.random.fraction());
    this.timers.after(
      prefillMs,
      ifUp(() => {
        running.phase = "begun";
        this.timers.after(
          FIRST_EVENT_MS,
          ifUp(() => {
            if (poison === undefined) {
              running.phase = "answered";
              engine.running.delete(running);
              running.guard.recordAnswer(SERVICE, running.parts);
              return;
            }
            this.lost.set(poison, (this.lost.get(poison) ?? 0) + 1);
            this.crash(engine);
          }),
        );
      }),
    );
  }

  private crash(engine: Engine): void {
    engine.up = false;
    this.crashTimes.push(this.timers.now());
    const process = `${engine.id} ${engine.boots}`;
    for (const { guard, parts, phase } of engine.running)
      if (phase === "begun") guard.recordCrash(SERVICE, process, parts);
    engine.running = new Set();
    this.timers.after(RESTART_MS, () => {
      engine.boots += 1;
      engine.up = true;
    });
  }

  private createGuard(at: number): PromptGuard {
    const { timers } = this;
    const log = { info: () => undefined, warn: () => undefined } as unknown as ConsolaInstance;
    return PromptGuard.create({
      timers,
      self: `i${at}`,
      members: {
        self: `i${at}`,
        all: () => this.members,
        find: () => undefined,
        subscribe: () => ({ cancel: () => undefined }),
      },
      decisionLines: DecisionLines.create({ log, timers }),
      forwardMetrics: { recordPartCrash: () => undefined, setPartConvictions: () => undefined },
      updates: {
        publish: (update) => {
          this.publish(at, update);
        },
        subscribe: (handler) => {
          this.handlers[at] = handler;
          return { cancel: () => undefined };
        },
      },
    });
  }

  private publish(from: number, update: Update): void {
    const text = JSON.stringify(update);
    const copy = updateSchema.parse(JSON.parse(text));
    const spreadMs = BROADCAST_MS[this.load.instances] ?? MS_PER_SECOND;
    this.handlers.forEach((handler, at) => {
      if (at === from) return;
      this.updateBytes += text.length;
      const delayMs = MIN_BROADCAST_MS + this.random.fraction() * (spreadMs - MIN_BROADCAST_MS);
      this.timers.after(delayMs, () => {
        handler(copy);
      });
    });
  }
}
