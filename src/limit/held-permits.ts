import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { Permit } from "./permit.js";
import type { UpstreamPermits } from "./upstream-permits.js";

/** Wait for a permit at its owner; renewed while calls wait for the upstream. */
const MAX_WAIT_MS = 1_000;

interface Parts {
  readonly upstreamPermits: UpstreamPermits;
}

/** Permits that are obtained before it is known which stage call will use them. */
export class HeldPermits {
  private readonly held = new Map<string, Permit>();
  private readonly awaited = new Set<string>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): HeldPermits {
    return new HeldPermits(parts);
  }

  /**
   * Whether a call may be sent to the upstream now. If not, a permit is requested, and `onReady` is
   * called once it is there.
   */
  isReady(entry: UpstreamEntry, rank: () => number, onReady: () => void): boolean {
    const { id } = entry;
    if (!this.parts.upstreamPermits.isNeeded(entry)) return true;
    if (this.held.get(id)?.valid === true) return true;
    this.held.delete(id);
    if (!this.awaited.has(id)) void this.obtain(entry, rank(), onReady);
    return false;
  }

  /** Takes the permit for a call; undefined if the upstream needs none. */
  take({ id }: UpstreamEntry): Permit | undefined {
    const permit = this.held.get(id);
    this.held.delete(id);
    return permit;
  }

  private async obtain(entry: UpstreamEntry, rank: number, onReady: () => void): Promise<void> {
    const { id } = entry;
    this.awaited.add(id);
    const purpose = { rank, team: "", maxWaitMs: MAX_WAIT_MS, attempt: undefined };
    const outcome = await this.parts.upstreamPermits.acquire(entry, purpose);
    this.awaited.delete(id);
    switch (outcome.kind) {
      case "granted":
        this.held.set(id, outcome.permit);
        onReady();
        break;
      case "unlimited":
        onReady();
        break;
      case "refused":
        break;
    }
  }
}
