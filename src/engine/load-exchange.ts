import type { CallRider } from "../peer/call-rider.js";
import type { Timers } from "../time/timers.js";
import type { EngineLoad } from "./engine-load.js";
import type { EngineSpeeds } from "./engine-speeds.js";
import { type LoadDigest, loadDigestSchema } from "./load-digest.js";
import type { PartDemand } from "./part-demand.js";

/** Shortest time between two digests to one instance. */
const INTERVAL_MS = 150;
/** Shortest time between two lists of slow engines to one instance; they change late. */
const SLOW_INTERVAL_MS = 600;
/** Far above the instances of a fleet; leaves room for those that ended. */
const MAX_INSTANCES = 2_048;

interface Parts {
  readonly timers: Timers;
  readonly engineLoad: EngineLoad;
  readonly engineSpeeds: EngineSpeeds;
  readonly partDemand: PartDemand;
}

interface Sent {
  atMs: number;
  slowAtMs: number;
  /** Number of the last own measurement that was sent. */
  sample: number;
  /** Whether it held no figures. */
  empty: boolean;
}

/**
 * Exchanges figures of engines with the instances that this one calls or answers anyway. Each tells
 * its own figures and the sums of what the others told it; instances that many call thus know the
 * whole fleet, and tell it to the many.
 */
export class LoadExchange implements CallRider {
  private readonly sent = new Map<string, Sent>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): LoadExchange {
    return new LoadExchange(parts);
  }

  outgoing(instance: string): LoadDigest | undefined {
    const { timers, engineLoad, engineSpeeds, partDemand } = this.parts;
    const now = timers.now();
    const sent = this.sentTo(instance);
    if (now - sent.atMs < INTERVAL_MS) return undefined;
    sent.atMs = now;
    const samples = engineSpeeds.samplesAfter(sent.sample);
    sent.sample = engineSpeeds.newest;
    const slow = now - sent.slowAtMs < SLOW_INTERVAL_MS ? [] : engineSpeeds.slowEngines();
    if (slow.length > 0) sent.slowAtMs = now;
    const digest = {
      ...{ engines: engineLoad.ownEngines(), parts: partDemand.ownParts(), samples, slow },
      ...{ sumEngines: engineLoad.sumsFor(instance), sumParts: partDemand.sumsFor(instance) },
    };
    const stated = Object.entries(digest).filter(([, figures]) => figures.length > 0);
    // Without engines there is nothing to tell; an empty digest withdraws earlier figures once.
    const repeated = stated.length === 0 && sent.empty;
    sent.empty = stated.length === 0;
    return repeated ? undefined : Object.fromEntries(stated);
  }

  receive(instance: string, carried: unknown): void {
    const parsed = loadDigestSchema.safeParse(carried);
    if (!parsed.success) return;
    const { engineLoad, engineSpeeds, partDemand } = this.parts;
    const { engines, parts, samples, slow, sumEngines, sumParts } = parsed.data;
    engineLoad.recordReport(instance, engines);
    engineLoad.recordSums(instance, sumEngines);
    partDemand.recordReport(instance, parts);
    partDemand.recordSums(instance, sumParts);
    engineSpeeds.recordSamples(samples);
    engineSpeeds.recordSlow(instance, slow);
  }

  private sentTo(instance: string): Sent {
    let sent = this.sent.get(instance);
    if (sent !== undefined) return sent;
    for (const oldest of this.sent.keys()) {
      if (this.sent.size < MAX_INSTANCES) break;
      this.sent.delete(oldest);
    }
    const sample = this.parts.engineSpeeds.newest;
    sent = { atMs: -Infinity, slowAtMs: -Infinity, sample, empty: true };
    this.sent.set(instance, sent);
    return sent;
  }
}
