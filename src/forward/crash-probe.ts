import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "../upstream/connection.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";

/** Time within which a live upstream accepts a connection; several round trips in a region. */
const CONNECT_TIMEOUT_MS = 250;

interface Parts {
  readonly timers: Timers;
  readonly upstreamHealth: UpstreamHealthRegistry;
}

/** Tells after a lost answer whether the upstream itself is gone, by a new connection to it. */
export class CrashProbe {
  /** Probes in progress by upstream; many answers are lost at the same moment. */
  private readonly inProgress = new Map<string, Promise<boolean>>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): CrashProbe {
    return new CrashProbe(parts);
  }

  /** Whether the upstream refuses connections. Never rejects. */
  hasCrashed(entry: UpstreamEntry): Promise<boolean> {
    let probe = this.inProgress.get(entry.id);
    if (probe === undefined) {
      probe = this.probe(entry).finally(() => this.inProgress.delete(entry.id));
      this.inProgress.set(entry.id, probe);
    }
    return probe;
  }

  private async probe(entry: UpstreamEntry): Promise<boolean> {
    const { timers, upstreamHealth } = this.parts;
    const never = new AbortController().signal;
    try {
      const url = `http://${entry.address}`;
      const connection = await Connection.open(url, timers, never, CONNECT_TIMEOUT_MS);
      connection.destroy();
      return false;
    } catch (error) {
      upstreamHealth.of(entry.id).recordUnreachable();
      return error instanceof ServeError && error.kind === ErrorKind.UpstreamCrashed;
    }
  }
}
