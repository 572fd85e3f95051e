import xxhash from "xxhash-wasm";
import type { PeerSettings } from "./peer-settings.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { AddressBook } from "./address-book.js";
import type { Member } from "./member.js";
import { type MemberEntry, supersedes } from "./member-entry.js";
import { type MemberRecord, toMember } from "./member-record.js";
import { MemberState } from "./member-state.js";
import type { Members } from "./members.js";
import { Ring } from "./ring.js";

/** Far above any fleet including its dead members; further ids are ignored to bound memory. */
const MAX_MEMBERS = 4_096;
const RADIX = 36;
const hasher = await xxhash();

interface Parts {
  readonly settings: PeerSettings;
  readonly timers: Timers;
  readonly addressBook: AddressBook;
}

/** All members and their states as this daemon knows them. */
export class MemberTable implements Members {
  private readonly records = new Map<string, MemberRecord>();
  private readonly handlers = new Set<(member: Member) => void>();
  private ownEntry: MemberEntry;
  private liveRing: Ring;
  private digest: bigint;

  private constructor(private readonly parts: Parts) {
    const { settings, timers } = parts;
    const { host, port } = settings.peers;
    this.ownEntry = {
      id: settings.instance.id,
      incarnation: Math.floor(timers.wallClock()),
      revision: 0,
      state: MemberState.Alive,
      dataCentre: settings.instance.dataCentre,
      peerAddress: `http://${host.includes(":") ? `[${host}]` : host}:${port}`,
      cores: settings.instance.cores,
    };
    this.liveRing = Ring.create([this.ownEntry.id]);
    this.digest = digestOf(this.ownEntry);
  }

  static create(parts: Parts): MemberTable {
    return new MemberTable(parts);
  }

  get self(): string {
    return this.ownEntry.id;
  }

  get own(): MemberEntry {
    return this.ownEntry;
  }

  /** This instance and all members that are not dead. */
  get ring(): Ring {
    return this.liveRing;
  }

  /** Whether the fleet is small enough that each instance sends heartbeats to all others. */
  get isFullMesh(): boolean {
    return this.liveRing.size <= this.parts.settings.peers.meshMembers;
  }

  /**
   * Digest of all live members; equal on two instances with the same view. It is the exclusive or
   * of the digests of the entries, so that the cost of a change does not depend on the fleet size.
   */
  get hash(): string {
    return this.digest.toString(RADIX);
  }

  all(): readonly Member[] {
    return [...this.records.values()].map(toMember);
  }

  find(id: string): Member | undefined {
    const record = this.records.get(id);
    return record && toMember(record);
  }

  record(id: string): MemberRecord | undefined {
    return this.records.get(id);
  }

  /** In the order of their last change. */
  allRecords(): readonly MemberRecord[] {
    return [...this.records.values()];
  }

  subscribe(handler: (member: Member) => void): Subscription {
    this.handlers.add(handler);
    return {
      cancel: () => {
        this.handlers.delete(handler);
      },
    };
  }

  /** Accepts an entry that supersedes the known one; `direct` if the member itself sent it. */
  merge(entry: MemberEntry, direct: boolean): boolean {
    if (entry.id === this.self) return this.refute(entry);
    const known = this.records.get(entry.id);
    if (known === undefined) {
      // Instances forget a dead member at different times; adding it again would keep it for ever.
      if (entry.state === MemberState.Dead || this.records.size >= MAX_MEMBERS) return false;
    } else if (!supersedes(entry, known.entry)) {
      if (direct) this.markHeard(entry.id, entry.incarnation);
      return false;
    } else if (!direct && entry.state === MemberState.Dead && this.heardRecently(known, entry)) {
      return false;
    }
    const lastHeardMs = this.parts.timers.now();
    this.put({ entry, suspect: false, lastHeardMs, unlistedSinceMs: undefined });
    return true;
  }

  /** Records that the known run of a member is alive; a member declared dead stays dead. */
  markHeard(id: string, incarnation: number): void {
    const known = this.records.get(id);
    if (known?.entry.incarnation !== incarnation) return;
    this.put({
      ...known,
      suspect: false,
      lastHeardMs: this.parts.timers.now(),
      unlistedSinceMs: undefined,
    });
  }

  markSuspect(id: string): void {
    const known = this.records.get(id);
    if (known !== undefined && !known.suspect) this.put({ ...known, suspect: true });
  }

  /** Declares a member dead and returns its entry. */
  declareDead(id: string): MemberEntry | undefined {
    const known = this.records.get(id);
    if (known === undefined || known.entry.state === MemberState.Dead) return undefined;
    const entry = { ...known.entry, state: MemberState.Dead as const };
    this.put({ ...known, entry, suspect: false });
    return entry;
  }

  /** Sets the start of the time until a dead member is forgotten; undefined cancels it. */
  setUnlistedSince(id: string, unlistedSinceMs: number | undefined): void {
    const known = this.records.get(id);
    if (known === undefined || known.unlistedSinceMs === unlistedSinceMs) return;
    this.records.set(id, { ...known, unlistedSinceMs });
  }

  forget(id: string): void {
    const known = this.records.get(id);
    if (known !== undefined) this.updateRingAndDigest(known.entry, undefined);
    this.records.delete(id);
    this.parts.addressBook.remove(id);
  }

  /** Resets the silence of every member, because this process heard nothing while it was paused. */
  resetAllSilences(): void {
    const lastHeardMs = this.parts.timers.now();
    for (const [id, record] of this.records) this.records.set(id, { ...record, lastHeardMs });
  }

  /** Resets the silence of a member that this instance begins to monitor. */
  resetSilenceOf(id: string): void {
    const record = this.records.get(id);
    if (record !== undefined) {
      this.records.set(id, { ...record, lastHeardMs: this.parts.timers.now() });
    }
  }

  /** Marks this instance as leaving. */
  markLeaving(): MemberEntry {
    return this.updateOwnEntry(this.ownEntry.revision + 1, MemberState.Leaving);
  }

  private refute(entry: MemberEntry): boolean {
    if (!supersedes(entry, this.ownEntry)) return false;
    // A later incarnation of this instance means that the wall clock went back between two starts.
    const { state, incarnation } = this.ownEntry;
    const later = entry.incarnation > incarnation;
    this.updateOwnEntry(
      later ? 0 : entry.revision + 1,
      state,
      later ? entry.incarnation + 1 : incarnation,
    );
    return true;
  }

  private updateOwnEntry(
    revision: number,
    state: MemberEntry["state"],
    incarnation = this.ownEntry.incarnation,
  ): MemberEntry {
    const known = this.ownEntry;
    this.ownEntry = { ...known, revision, state, incarnation };
    this.updateRingAndDigest(known, this.ownEntry);
    return this.ownEntry;
  }

  private heardRecently(known: MemberRecord, entry: MemberEntry): boolean {
    const silentMs = this.parts.timers.now() - known.lastHeardMs;
    const sameIncarnation = entry.incarnation === known.entry.incarnation;
    return sameIncarnation && silentMs < this.parts.settings.bounds.suspicionMs;
  }

  private put(record: MemberRecord): void {
    const { entry, suspect } = record;
    const known = this.records.get(entry.id);
    // Keeps the order of last change: heartbeats send recent changes, which peers may still lack.
    if (known?.entry !== entry) this.records.delete(entry.id);
    this.records.set(entry.id, record);
    if (known?.entry === entry && known.suspect === suspect) return;
    if (known?.entry !== entry) {
      this.updateRingAndDigest(known?.entry, entry);
      this.parts.addressBook.set(entry.id, entry.peerAddress);
    }
    for (const handler of this.handlers) handler(toMember(record));
  }

  /** Updates the ring and the digest after the change of one entry. */
  private updateRingAndDigest(
    before: MemberEntry | undefined,
    after: MemberEntry | undefined,
  ): void {
    if (isLive(before)) this.digest ^= digestOf(before);
    if (isLive(after)) this.digest ^= digestOf(after);
    if (isLive(before) && !isLive(after)) this.liveRing = this.liveRing.excluding(before.id);
    if (isLive(after) && !isLive(before)) this.liveRing = this.liveRing.including(after.id);
  }
}

function isLive(entry: MemberEntry | undefined): entry is MemberEntry {
  return entry !== undefined && entry.state !== MemberState.Dead;
}

function digestOf({ id, incarnation, revision, state }: MemberEntry): bigint {
  return hasher.h64([id, incarnation, revision, state].join(" "));
}
