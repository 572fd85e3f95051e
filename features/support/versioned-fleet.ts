import { freePorts } from "../../standin/free-ports.js";
import { type StreamPace, VersionedEngine } from "../../standin/versioned-engine.js";
import { FrontHost } from "./front-host.js";
import { ResumedStream } from "./resuming-caller.js";

const SUBJECTS = 12;
const SETTLE_MS = 2_500;

/** Daemons before engines of several software versions, and callers who resume their streams. */
export class VersionedFleet {
  streams: ResumedStream[] = [];
  private readonly engines: VersionedEngine[] = [];
  private calls = 0;

  private constructor(readonly front: FrontHost) {}

  static async create(daemons: number): Promise<VersionedFleet> {
    const fleet = new VersionedFleet(await FrontHost.create([]));
    for (let at = 1; at < daemons; at += 1) await fleet.front.startDaemon();
    return fleet;
  }

  /** Requests that the engines ran. */
  get runs(): number {
    return this.engines.reduce((sum, { runs }) => sum + runs, 0);
  }

  /** Starts engines of one version; undefined for engines that state none. */
  async addEngines(count: number, version: string | undefined, pace: StreamPace): Promise<void> {
    for (const port of await freePorts(count)) {
      const engine = await VersionedEngine.create(`e${this.engines.length}`, version, port);
      engine.pace = pace;
      this.engines.push(engine);
      this.front.site.store.put("servers", engine.id, engine.entry);
    }
  }

  /** Ends the engines of a version and removes them from the store. */
  async endEngines(version: string): Promise<void> {
    const ended = this.engines.filter((engine) => engine.version === version);
    for (const { id } of ended) this.front.site.store.put("servers", id, undefined);
    await Promise.all(ended.map((engine) => engine.stop()));
  }

  /** Changes how all engines stream. */
  setPace(pace: StreamPace): void {
    for (const engine of this.engines) engine.pace = pace;
  }

  settle(): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  }

  /** Sends requests for streams; each attempt goes to another daemon than the one before. */
  receive(count: number): Promise<void> {
    const streams = Array.from({ length: count }, () => {
      const call = this.calls;
      this.calls += 1;
      const promptParts = ["shared", `subject-${call % SUBJECTS}`, `own-${call}`];
      return ResumedStream.receive(`stream-${call}`, (request, attempt) => {
        const { daemons } = this.front;
        const daemon = daemons[(call + attempt) % Math.max(1, daemons.length)];
        const fields = { ...request, promptParts, pieces: 0 };
        return this.front.request(`/stream/resumable/${call}`, fields, daemon);
      });
    });
    return Promise.all(streams).then((received) => {
      this.streams.push(...received);
    });
  }

  async stop(): Promise<void> {
    await Promise.all(this.engines.map((engine) => engine.stop()));
  }
}
