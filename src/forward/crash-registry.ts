import { LRUCache } from "lru-cache";
import xxhash from "xxhash-wasm";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Updates } from "../peer/updates.js";
import type { ForwardRequest } from "./forward-request.js";

/** Upstreams that a content may crash before it no longer runs; each crash ends other requests. */
const MAX_CRASHED_UPSTREAMS = 2;
/** Time for which a content is remembered; resends of a caller come within its deadline. */
const CRASH_RETENTION_MS = 300_000;
const MAX_TRACKED_REQUESTS = 4_096;
const RETRY_AFTER_MS = 1_000;
const HEX_RADIX = 16;
const hashes = await xxhash();

interface Crashes {
  readonly upstreams: ReadonlySet<string>;
}

/**
 * Counts the upstreams that crashed while they ran a content, over all instances. Answers the load
 * pattern of one request that crashes each upstream that runs it and is sent again by its caller.
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
    const hash = hashes.create64();
    hash.update(`${request.method} ${request.target} ${key ?? ""}\n`);
    hash.update(request.body);
    return hash.digest().toString(HEX_RADIX);
  }

  /** Throws `RequestSuspected` for a content that crashed too many upstreams. */
  check(digest: string): void {
    const count = this.crashes.get(digest)?.upstreams.size ?? 0;
    if (count < MAX_CRASHED_UPSTREAMS) return;
    throw ServeError.create(ErrorKind.RequestSuspected, `the content crashed ${count} upstreams`, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  /** Records that an upstream crashed while it ran the content, and tells the other instances. */
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
    const known = this.crashes.get(digest)?.upstreams ?? [];
    this.crashes.set(digest, { upstreams: new Set([...known, ...upstreams]) });
  }
}
