import type { Timers } from "../time/timers.js";
import type { PartConviction } from "./part-conviction.js";

/** Bounds memory; the oldest conviction is dropped first. */
const MAX_CONVICTIONS = 256;
/**
 * Time until a request with convicted parts runs again, doubled by each further crash. It ends a
 * conviction that was wrong, or that no longer applies.
 */
const TRIAL_INTERVAL_MS = 60_000;
/** Bounds memory; an older conviction that returns from the store is tried again. */
const MAX_LIFTED = 256;

interface HeldConviction extends Omit<PartConviction, "expiresMs"> {
  readonly expiresAtMs: number;
  trialAtMs: number;
  trialIntervalMs: number;
}

/** The convictions in force at this instance. */
export class PartConvictions {
  private readonly held = new Map<string, HeldConviction>();
  /** Convictions that responses have lifted, oldest first. */
  private readonly lifted = new Set<string>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): PartConvictions {
    return new PartConvictions(timers);
  }

  /**
   * Adds a conviction, which replaces those of larger sets. Returns false if a smaller or equal
   * set was convicted already.
   */
  add({ service, parts, processes, expiresMs }: PartConviction): boolean {
    if (parts.length === 0 || expiresMs <= 0 || this.find(service, parts) !== undefined)
      return false;
    for (const [key, other] of this.held)
      if (other.service === service && parts.every((part) => other.parts.includes(part)))
        this.held.delete(key);
    const now = this.timers.now();
    this.lifted.delete(keyOf(service, parts));
    this.held.set(keyOf(service, parts), {
      ...{ service, parts, processes, expiresAtMs: now + expiresMs },
      ...{ trialAtMs: now + TRIAL_INTERVAL_MS, trialIntervalMs: TRIAL_INTERVAL_MS },
    });
    const [oldest] = this.held.keys();
    if (this.held.size > MAX_CONVICTIONS && oldest !== undefined) this.held.delete(oldest);
    return true;
  }

  /** The conviction of a set of which the request has all parts. */
  find(service: string, parts: readonly string[]): PartConviction | undefined {
    if (this.held.size === 0) return undefined;
    const now = this.timers.now();
    for (const [key, conviction] of this.held) {
      if (conviction.expiresAtMs <= now) this.held.delete(key);
      else if (conviction.service === service && conviction.parts.every((id) => parts.includes(id)))
        return this.remaining(conviction);
    }
    return undefined;
  }

  /** Whether a conviction in force names the part. */
  includesPart(service: string, part: string): boolean {
    if (this.held.size === 0) return false;
    return [...this.held.values()].some(
      (conviction) => conviction.service === service && conviction.parts.includes(part),
    );
  }

  /** Whether it is time for a request with these convicted parts to run. */
  isTrialDue({ service, parts }: PartConviction): boolean {
    return this.timers.now() >= (this.held.get(keyOf(service, parts))?.trialAtMs ?? Infinity);
  }

  /** Records that a request with these convicted parts runs. */
  startTrial({ service, parts }: PartConviction): void {
    const conviction = this.held.get(keyOf(service, parts));
    if (conviction !== undefined) this.delayTrial(conviction);
  }

  /** Delays the next trial of those convictions of which a request that crashed had all parts. */
  recordCrash(service: string, suspects: readonly string[]): void {
    for (const conviction of this.held.values())
      if (conviction.service === service && conviction.parts.every((id) => suspects.includes(id)))
        this.delayTrial(conviction);
  }

  private delayTrial(conviction: HeldConviction): void {
    const now = this.timers.now();
    // Crashes of requests that were in progress at the conviction are no trials.
    if (now < conviction.trialAtMs - conviction.trialIntervalMs / 2) return;
    conviction.trialIntervalMs *= 2;
    conviction.trialAtMs = now + conviction.trialIntervalMs;
  }

  /** Whether responses have lifted a conviction of exactly these parts. */
  wasLifted({ service, parts }: PartConviction): boolean {
    return this.lifted.has(keyOf(service, parts));
  }

  /**
   * Removes parts to which an upstream responded, as they do not crash upstreams. Returns whether
   * that changed a conviction.
   */
  acquit(service: string, answered: readonly string[]): boolean {
    let changed = false;
    for (const [key, conviction] of this.held) {
      if (conviction.service !== service) continue;
      const parts = conviction.parts.filter((part) => !answered.includes(part));
      if (parts.length === conviction.parts.length) continue;
      changed = true;
      this.held.delete(key);
      this.lifted.add(key);
      const [oldest] = this.lifted;
      if (this.lifted.size > MAX_LIFTED && oldest !== undefined) this.lifted.delete(oldest);
      if (parts.length > 0) this.held.set(keyOf(service, parts), { ...conviction, parts });
    }
    return changed;
  }

  /** All convictions in force. */
  all(): PartConviction[] {
    const now = this.timers.now();
    return [...this.held.values()]
      .filter(({ expiresAtMs }) => expiresAtMs > now)
      .map((conviction) => this.remaining(conviction));
  }

  private remaining({ service, parts, processes, expiresAtMs }: HeldConviction): PartConviction {
    return { service, parts, processes, expiresMs: expiresAtMs - this.timers.now() };
  }
}

function keyOf(service: string, parts: readonly string[]): string {
  return `${service} ${parts.join(" ")}`;
}
