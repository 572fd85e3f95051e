import type { Timers } from "../time/timers.js";
import type { PartCrash } from "./part-crash.js";

/** Time for which a crash counts; requests with a part may be minutes apart. */
const CRASH_LIFETIME_MS = 600_000;
/** Bounds memory to a few kB per crash. */
const MAX_CRASHES = 256;
/** Separate crashes under a part after which it is convicted. */
const CONVICTING_CRASHES = 3;
/** Crashes after which two separate ones are enough. */
const CONVICTING_TOTAL = 4;
/** Crashes within this time count as one: a loss of power ends many upstreams at once. */
const COMMON_CAUSE_MS = 250;

/**
 * Time after a crash in which requests with its suspects wait, so that those in progress end and the
 * next crash is a separate one.
 */
const PAUSE_MS = 500;

interface Suspicion {
  readonly crashes: number;
  readonly lastCrashMs: number;
}

interface RecordedCrash {
  readonly service: string;
  readonly process: string;
  readonly atMs: number;
  readonly requests: Set<string>[];
}

/** Parts that explain several crashes. */
export interface GuiltyParts {
  /** The parts that all requests had that crashed an upstream and share one of them. */
  readonly parts: readonly string[];
  readonly processes: readonly string[];
}

/**
 * Crashes and the prompt parts that may have caused them. A response to a part clears it of all
 * crashes before, and parts that are left in several crashes are guilty together.
 */
export class PartEvidence {
  private crashes: RecordedCrash[] = [];
  /** By service and part. */
  private suspicions = new Map<string, Suspicion>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): PartEvidence {
    return new PartEvidence(timers);
  }

  record({ service, process, requests }: PartCrash): void {
    const suspects = requests.filter((parts) => parts.length > 0).map((parts) => new Set(parts));
    if (suspects.length === 0) return;
    const known = this.crashes.find((each) => each.service === service && each.process === process);
    if (known === undefined) {
      this.crashes.push({ service, process, atMs: this.timers.now(), requests: suspects });
      if (this.crashes.length > MAX_CRASHES) this.crashes.shift();
    } else known.requests.push(...suspects);
    this.recount();
  }

  /** Clears parts of all crashes so far; returns those that were suspect. */
  acquit(service: string, parts: readonly string[]): string[] {
    const cleared = parts.filter((part) => this.suspicions.has(`${service} ${part}`));
    if (cleared.length === 0) return cleared;
    for (const crash of this.crashes) {
      if (crash.service !== service) continue;
      for (const request of crash.requests) for (const part of cleared) request.delete(part);
    }
    this.recount();
    return cleared;
  }

  /** The part among these with the most crashes; undefined if none is suspect. */
  suspectAmong(service: string, parts: readonly string[]): string | undefined {
    if (this.suspicions.size === 0) return undefined;
    let suspect: string | undefined;
    let most = 0;
    for (const part of parts) {
      const count = this.suspicions.get(`${service} ${part}`)?.crashes ?? 0;
      if (count < most || count === 0) continue;
      if (count > most || suspect === undefined || part < suspect) suspect = part;
      most = count;
    }
    return suspect;
  }

  /** Time for which a request with these parts should wait, in ms; 0 if none is suspect. */
  pauseMs(service: string, parts: readonly string[]): number {
    if (this.suspicions.size === 0) return 0;
    const crashTimes = parts.map(
      (part) => this.suspicions.get(`${service} ${part}`)?.lastCrashMs ?? -Infinity,
    );
    return Math.max(0, Math.max(-Infinity, ...crashTimes) + PAUSE_MS - this.timers.now());
  }

  /** What is left of the suspicion against one of the parts after enough crashes, if anything. */
  findGuilty(service: string, parts: readonly string[]): GuiltyParts | undefined {
    this.expire();
    for (const part of parts) {
      const crashes = this.crashes.filter(
        (crash) => crash.service === service && crash.requests.some((each) => each.has(part)),
      );
      const needed = crashes.length < CONVICTING_TOTAL ? CONVICTING_CRASHES : 2;
      if (separateCrashes(crashes) < needed) continue;
      const requests = crashes.flatMap((crash) => crash.requests.filter((each) => each.has(part)));
      const shared = [...(requests[0] ?? [])].filter((id) =>
        requests.every((each) => each.has(id)),
      );
      return { parts: shared.sort(), processes: crashes.map(({ process }) => process) };
    }
    return undefined;
  }

  private expire(): void {
    const oldest = this.timers.now() - CRASH_LIFETIME_MS;
    if ((this.crashes[0]?.atMs ?? Infinity) >= oldest) return;
    this.crashes = this.crashes.filter(({ atMs }) => atMs >= oldest);
    this.recount();
  }

  private recount(): void {
    this.suspicions = new Map();
    for (const { service, requests, atMs } of this.crashes) {
      for (const part of new Set(requests.flatMap((each) => [...each]))) {
        const key = `${service} ${part}`;
        const crashes = (this.suspicions.get(key)?.crashes ?? 0) + 1;
        this.suspicions.set(key, { crashes, lastCrashMs: atMs });
      }
    }
  }
}

/** Number of crashes that have no common cause; `crashes` is in the order of time. */
function separateCrashes(crashes: readonly RecordedCrash[]): number {
  let count = 0;
  let lastMs = -Infinity;
  for (const { atMs } of crashes) {
    if (atMs - lastMs < COMMON_CAUSE_MS) continue;
    count += 1;
    lastMs = atMs;
  }
  return count;
}
