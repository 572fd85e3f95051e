import type { ConsolaInstance } from "consola";
import { aliveMembers } from "../peer/alive-members.js";
import type { Members } from "../peer/members.js";
import type { Table } from "../table/table.js";
import type { Settings } from "../settings/settings.js";
import type { Pauses } from "../time/pauses.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import { Lease } from "./lease.js";
import { rendezvousMember } from "./rendezvous.js";

interface Parts {
  readonly table: Table;
  readonly timers: Timers;
  readonly incarnation: number;
  readonly members: Members;
  readonly pauses: Pauses;
  readonly settings: Settings;
  readonly log: ConsolaInstance;
}

/** Three renewals may fail before a lease runs out. */
const STEPS_PER_LEASE = 4;

interface Entry {
  readonly lease: Lease;
  stepping: boolean;
}

/**
 * Holds the leases of those groups that rendezvous hashing assigns to this instance among the
 * instances it believes alive. Instances may disagree on that; the table decides.
 */
export class LeaseKeeper {
  private readonly entries = new Map<string, Entry>();
  private subscriptions: readonly Subscription[] = [];

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): LeaseKeeper {
    return new LeaseKeeper(parts);
  }

  start(): void {
    const { timers, pauses, settings } = this.parts;
    this.subscriptions = [
      pauses.subscribe(() => {
        for (const { lease } of this.entries.values()) lease.drop();
      }),
      timers.every(settings.bounds.leaseMs / STEPS_PER_LEASE, () => {
        this.stepAll();
      }),
    ];
  }

  /** Gives up every lease. */
  stop(): void {
    for (const subscription of this.subscriptions) subscription.cancel();
    for (const { lease } of this.entries.values()) lease.drop();
  }

  /** Keeps the leases of exactly these groups; others are given up. */
  keep(groups: readonly string[]): void {
    const { settings, members } = this.parts;
    for (const [group, { lease }] of this.entries) {
      if (groups.includes(group)) continue;
      lease.drop();
      this.entries.delete(group);
    }
    for (const group of groups) {
      if (this.entries.has(group)) continue;
      const lease = Lease.create(this.parts, group, members.self, settings.bounds.leaseMs);
      this.entries.set(group, { lease, stepping: false });
    }
  }

  /** The lease of a group, held or not; undefined for a group that is not kept. */
  lease(group: string): Lease | undefined {
    return this.entries.get(group)?.lease;
  }

  private stepAll(): void {
    const { members } = this.parts;
    const ids = [members.self, ...aliveMembers(members).map(({ id }) => id)];
    for (const [group, entry] of this.entries) {
      if (rendezvousMember(group, ids) !== members.self) entry.lease.drop();
      else if (!entry.stepping) void this.step(group, entry);
    }
  }

  private async step(group: string, entry: Entry): Promise<void> {
    entry.stepping = true;
    try {
      await entry.lease.step();
    } catch (error) {
      this.parts.log.debug({ message: "lease not renewed", group, error: String(error) });
    } finally {
      entry.stepping = false;
    }
  }
}
