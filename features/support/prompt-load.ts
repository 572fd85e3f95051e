import { freePorts } from "../../standin/free-ports.js";
import type { PlatformAnswer } from "../../standin/platform-caller.js";
import {
  type PromptArrival,
  PromptEngine,
  type PromptEngineSite,
} from "../../standin/prompt-engine.js";
import { FrontHost } from "./front-host.js";

const MS_PER_SECOND = 1_000;
const DEADLY_PART = "dead";
const SOUND_PER_SECOND = 20;
const SUBJECTS = 10;

/** Where the deadly part is in the prompts that have it. */
export enum PartPosition {
  First = "first",
  Middle = "in the middle",
  BeforeLast = "before the last part",
}

/** A request of the load. */
export interface PromptRequest {
  readonly id: string;
  readonly deadly: boolean;
  readonly sentMs: number;
  readonly response: Promise<PlatformAnswer>;
}

/** Callers of daemons before engines that one part of a prompt crashes. */
export class PromptLoad {
  readonly arrivals: PromptArrival[] = [];
  readonly crashes: number[] = [];
  readonly requests: PromptRequest[] = [];
  private readonly engines: PromptEngine[] = [];

  private constructor(readonly front: FrontHost) {}

  static async create(daemons: number, engines: number): Promise<PromptLoad> {
    const load = new PromptLoad(await FrontHost.create([]));
    const { site } = load.front;
    const engineSite: PromptEngineSite = {
      deadlyParts: new Set([DEADLY_PART]),
      register: (id, entry) => {
        site.store.put("servers", id, entry);
      },
      ...{ arrivals: load.arrivals, crashes: load.crashes },
    };
    for (const [at, port] of (await freePorts(engines)).entries())
      load.engines.push(await PromptEngine.create(`e${at}`, port, engineSite));
    for (let at = 1; at < daemons; at += 1) await load.front.startDaemon();
    await pause(MS_PER_SECOND);
    return load;
  }

  /** Sends sound requests at a constant rate, and deadly ones after `soundMs`. */
  async run(
    soundMs: number,
    totalMs: number,
    deadlyPerSecond: number,
    position: PartPosition,
  ): Promise<void> {
    const startMs = Date.now();
    await Promise.all([
      this.repeat(SOUND_PER_SECOND, startMs + totalMs, (at) => {
        this.send(at, undefined);
      }),
      pause(soundMs).then(() =>
        this.repeat(deadlyPerSecond, startMs + totalMs, (at) => {
          this.send(at, position);
        }),
      ),
    ]);
    await Promise.all(this.requests.map(({ response }) => response));
  }

  async stop(): Promise<void> {
    await Promise.all(this.engines.map((engine) => engine.stop()));
  }

  private async repeat(
    perSecond: number,
    endMs: number,
    send: (at: number) => void,
  ): Promise<void> {
    for (let at = 0; Date.now() < endMs; at += 1) {
      send(at);
      await pause(MS_PER_SECOND / perSecond);
    }
  }

  private send(at: number, position: PartPosition | undefined): void {
    const deadly = position !== undefined;
    const id = `${deadly ? "deadly" : "sound"}-${at}`;
    const subject = `b${at % SUBJECTS}`;
    const { daemons } = this.front;
    const fields = {
      id,
      body: id,
      promptParts: [...sharedParts(subject, position), id],
      pieces: 0,
    };
    const response = this.front.request(
      `/stream/resumable/${id}`,
      fields,
      daemons[at % daemons.length],
    );
    this.requests.push({ id, deadly, sentMs: Date.now(), response });
  }
}

function sharedParts(subject: string, position: PartPosition | undefined): string[] {
  switch (position) {
    case undefined:
      return ["a0", subject];
    case PartPosition.First:
      return [DEADLY_PART, "a0", subject];
    case PartPosition.Middle:
      return ["a0", DEADLY_PART, subject];
    case PartPosition.BeforeLast:
      return ["a0", subject, DEADLY_PART];
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
