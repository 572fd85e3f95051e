import { LRUCache } from "lru-cache";
import xxhash from "xxhash-wasm";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Updates } from "../peer/updates.js";
import type { ForwardRequest } from "./forward-request.js";

/** Crashed upstreams after which a content is refused; each crash ends other requests. */
const MAX_CRASHED_UPSTREAMS = 2;
/** Covers the retries of a caller, which come within its deadline. */
const CRASH_RETENTION_MS = 300_000;
const MAX_TRACKED_REQUESTS = 4_096;
const RETRY_AFTER_MS = 1_000;
const HEX_RADIX = 16;
const hasher = await xxhash();

interface Crashes {
  readonly upstreams: ReadonlySet<string>;
}

/**
 * Counts the upstreams that crashed while running a content, over all instances. Stops a request
 * that crashes every upstream that runs it and is retried by its caller.
 */
export class CrashRegistry {
  private readonly crashes = new LRUCache<string, Crashes>({
    max: MAX_TRACKED_REQUESTS,
    ttl: CRASH_RETENTION_MS,
  });

  private constructor(private readonly updates: Updates) {
    updates.subscribe((update) => {
      if (update.kind !== "crash-suspicion") return;
      this.add(update.contentDigest, update.upstreams);
    });
  }

  static create(parts: { updates: Updates }): CrashRegistry {
    return new CrashRegistry(parts.updates);
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
    return (this.crashes.get(digest)?.upstreams.size ?? 0) >= MAX_CRASHED_UPSTREAMS;
  }

  /** Records that an upstream crashed while running the content; notifies other instances. */
  recordCrash(digest: string, service: string, upstream: string): void {
    this.add(digest, [upstream]);
    this.updates.publish({
      kind: "crash-suspicion",
      team: "",
      contentDigest: digest,
      service,
      upstreams: [upstream],
      expiresMs: CRASH_RETENTION_MS,
      blockedMs: 0,
    });
  }

  private add(digest: string, upstreams: readonly string[]): void {
    const previous = this.crashes.get(digest)?.upstreams ?? [];
    this.crashes.set(digest, { upstreams: new Set([...previous, ...upstreams]) });
  }
}
