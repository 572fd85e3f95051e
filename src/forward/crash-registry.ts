import { LRUCache } from "lru-cache";
import xxhash from "xxhash-wasm";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { ContentSuspicion } from "../crash/content-suspicion.js";
import type { Updates } from "../peer/updates.js";
import type { Timers } from "../time/timers.js";
import type { ForwardRequest } from "./forward-request.js";
import type { UpstreamEntry } from "./upstream-entry.js";

/** Crashed processes after which a content is refused; each crash ends other requests. */
const MAX_CRASHED_PROCESSES = 2;
/** Covers the retries of a caller, which come within its deadline. */
const CRASH_RETENTION_MS = 300_000;
const MAX_TRACKED_REQUESTS = 4_096;
const RETRY_AFTER_MS = 1_000;
const HEX_RADIX = 16;
const hasher = await xxhash();

type CrashedProcess = Pick<UpstreamEntry, "id" | "service" | "startedMs">;

interface Crashes {
  readonly service: string;
  /** Upstream processes that crashed; an upstream may start again under its ID. */
  readonly processes: readonly string[];
  /** On the monotonic clock, in ms. */
  readonly expiresMs: number;
}

interface Parts {
  readonly timers: Timers;
  readonly updates: Updates;
}

/**
 * Counts the upstream processes that crashed while running a content, over all instances. Stops a
 * request that crashes every upstream that runs it and is retried by its caller.
 */
export class CrashRegistry {
  private readonly crashes = new LRUCache<string, Crashes>({ max: MAX_TRACKED_REQUESTS });
  private readonly crashHandlers: ((isOwn: boolean) => void)[] = [];

  private constructor(private readonly parts: Parts) {
    parts.updates.subscribe((update) => {
      if (update.kind !== "crash-suspicion") return;
      const { contentDigest: digest, service, upstreams, processes, expiresMs } = update;
      this.learn({ digest, service, processes: processes ?? upstreams, expiresMs });
      for (const handler of this.crashHandlers) handler(false);
    });
  }

  static create(parts: Parts): CrashRegistry {
    return new CrashRegistry(parts);
  }

  /** Identifies requests that are the same to an upstream. */
  static digest(request: ForwardRequest, key: string | undefined): string {
    const hash = hasher.create64();
    hash.update(`${request.method} ${request.target} ${key ?? ""}\n`);
    hash.update(request.body);
    return hash.digest().toString(HEX_RADIX);
  }

  /** Throws `RequestSuspected` if requests with this digest crashed too many upstreams. */
  check(digest: string): void {
    if (!this.isSuspected(digest)) return;
    throw ServeError.create(ErrorKind.RequestSuspected, "this content crashed several upstreams", {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  isSuspected(digest: string): boolean {
    return (this.find(digest)?.processes.length ?? 0) >= MAX_CRASHED_PROCESSES;
  }

  /** Records that a process crashed while running the content; notifies other instances. */
  recordCrash(digest: string, { id, service, startedMs }: CrashedProcess): void {
    const processes = [`${id} ${startedMs}`];
    this.learn({ digest, service, processes, expiresMs: CRASH_RETENTION_MS });
    this.parts.updates.publish({
      kind: "crash-suspicion",
      team: "",
      contentDigest: digest,
      service,
      upstreams: [id],
      processes,
      expiresMs: CRASH_RETENTION_MS,
      blockedMs: 0,
    });
    for (const handler of this.crashHandlers) handler(true);
  }

  /** Calls `handler` after each crash with whether this instance has reported it. */
  onCrash(handler: (isOwn: boolean) => void): void {
    this.crashHandlers.push(handler);
  }

  /** Takes over stored suspicions. */
  adopt(suspicions: readonly ContentSuspicion[]): void {
    for (const suspicion of suspicions) if (suspicion.expiresMs > 0) this.learn(suspicion);
  }

  /** The suspicions that have not expired. */
  list(): ContentSuspicion[] {
    const now = this.parts.timers.now();
    return [...this.crashes.entries()].flatMap(([digest, { expiresMs, ...crashes }]) =>
      expiresMs > now ? [{ digest, ...crashes, expiresMs: expiresMs - now }] : [],
    );
  }

  private find(digest: string): Crashes | undefined {
    const crashes = this.crashes.get(digest);
    return crashes !== undefined && crashes.expiresMs > this.parts.timers.now()
      ? crashes
      : undefined;
  }

  private learn({ digest, service, processes, expiresMs }: ContentSuspicion): void {
    const previous = this.find(digest);
    const known = previous?.processes ?? [];
    const added = processes.filter((process) => !known.some((each) => isSame(each, process)));
    this.crashes.set(digest, {
      service,
      processes: [...known, ...added],
      expiresMs: Math.max(previous?.expiresMs ?? 0, this.parts.timers.now() + expiresMs),
    });
  }
}

/** Instances of earlier versions name the upstream without the start of its process. */
function isSame(known: string, process: string): boolean {
  return known === process || known.startsWith(`${process} `) || process.startsWith(`${known} `);
}
