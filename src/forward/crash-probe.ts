import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "../upstream/connection.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";

/** Time within which a live upstream accepts a connection; several round trips in a region. */
const CONNECT_TIMEOUT_MS = 250;

interface Parts {
  readonly timers: Timers;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly directory: Pick<UpstreamDirectory, "isEvacuated">;
}

/** Checks by a new connection whether an upstream has crashed after a lost response. */
export class CrashProbe {
  /** Running probes by upstream ID; a crash loses many responses at the same time. */
  private readonly runningProbes = new Map<string, Promise<boolean>>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): CrashProbe {
    return new CrashProbe(parts);
  }

  /** Whether the upstream refuses connections; not known of an evacuated one. Never rejects. */
  hasCrashed(entry: UpstreamEntry): Promise<boolean> {
    if (this.parts.directory.isEvacuated(entry.id)) return Promise.resolve(false);
    let probe = this.runningProbes.get(entry.id);
    if (probe === undefined) {
      probe = this.probe(entry).finally(() => this.runningProbes.delete(entry.id));
      this.runningProbes.set(entry.id, probe);
    }
    return probe;
  }

  private async probe(entry: UpstreamEntry): Promise<boolean> {
    const { timers, upstreamHealth } = this.parts;
    const neverAborts = new AbortController().signal;
    try {
      const url = `http://${entry.address}`;
      const connection = await Connection.open(url, timers, neverAborts, CONNECT_TIMEOUT_MS);
      connection.destroy();
      return false;
    } catch (error) {
      upstreamHealth.of(entry.id).recordUnreachable();
      return error instanceof ServeError && error.kind === ErrorKind.UpstreamCrashed;
    }
  }
}
