import type { DemandDigest } from "../admission/demand-digest.js";
import type { DemandSource } from "../admission/demand-source.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { PeerSettings } from "./peer-settings.js";
import type { Broadcast } from "./broadcast.js";
import {
  type Heartbeat,
  type HeartbeatAnswer,
  heartbeatAnswerSchema,
  heartbeatSchema,
  MAX_UPDATE_IDS_PER_HEARTBEAT,
  MAX_MEMBERS_PER_HEARTBEAT,
} from "./heartbeat.js";
import type { HeartbeatReports } from "./heartbeat-reports.js";
import { type MemberEntry, packEntry, supersedes } from "./member-entry.js";
import type { MemberChangeQueue } from "./member-change-queue.js";
import { MemberState } from "./member-state.js";
import type { MemberTable } from "./member-table.js";
import type { PeerCalls } from "./peer-calls.js";
import { PeerMethod } from "./peer-method.js";
import type { PeerMethods } from "./peer-methods.js";

/** Most recently changed members in a heartbeat; most differences of two views are recent. */
const RECENT_MEMBERS_PER_HEARTBEAT = 4;
/** Rates are decayed sums; further digits carry no information. */
const DEMAND_SIGNIFICANT_DIGITS = 3;

interface Parts {
  readonly settings: PeerSettings;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly memberTable: MemberTable;
  readonly memberChangeQueue: MemberChangeQueue;
  readonly broadcast: Broadcast;
  readonly heartbeatReports: HeartbeatReports;
  readonly configurationView: Pick<ConfigurationView, "version">;
  readonly demandSource: DemandSource;
}

type SharedFields = Pick<HeartbeatAnswer, "entry" | "version" | "hash" | "members" | "about">;

/** Exchanges heartbeats with other instances. */
export class Heartbeats {
  private nextMemberIndex = 0;
  /** Instances whose last heartbeat or answer had another digest of the members. */
  private readonly differingPeers = new Set<string>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): Heartbeats {
    const heartbeats = new Heartbeats(parts);
    parts.peerMethods.register(PeerMethod.Heartbeat, (params) =>
      Promise.resolve(heartbeats.receive(heartbeatSchema.parse(params))),
    );
    return heartbeats;
  }

  /** Exchanges one heartbeat; throws `PeerUnavailable` if no answer arrives in time. */
  async exchange(instance: string): Promise<void> {
    const { settings, peerCalls, broadcast, demandSource, heartbeatReports, memberTable } =
      this.parts;
    const heartbeat: Heartbeat = {
      ...this.sharedFields(instance, this.differingPeers.has(instance)),
      updates: broadcast.store.selectIds(MAX_UPDATE_IDS_PER_HEARTBEAT),
      // Limits are divided by demand only where every instance knows the demand of all.
      ...(memberTable.isFullMesh ? { demand: roundDemand(demandSource.digest()) } : {}),
    };
    const timeoutMs = settings.bounds.heartbeatMs;
    const result = await peerCalls.call(instance, PeerMethod.Heartbeat, heartbeat, timeoutMs);
    const answer = heartbeatAnswerSchema.parse(result);
    // The address of a stopped instance may have been given to another one.
    if (answer.entry.id !== instance) return;
    this.apply(answer);
    heartbeatReports.recordHeartbeat(instance, answer.version, undefined);
    if (answer.lacking.length > 0) void broadcast.repair(instance, answer.lacking);
  }

  private receive(heartbeat: ReturnType<typeof heartbeatSchema.parse>): HeartbeatAnswer {
    const { entry, version, demand, updates } = heartbeat;
    this.apply(heartbeat);
    this.parts.heartbeatReports.recordHeartbeat(entry.id, version, demand);
    return {
      ...this.sharedFields(entry.id, this.differingPeers.has(entry.id), entry),
      lacking: this.parts.broadcast.store.findMissing(updates),
    };
  }

  private apply(message: ReturnType<typeof heartbeatAnswerSchema.parse> | ParsedHeartbeat): void {
    const { memberTable, memberChangeQueue } = this.parts;
    const { entry, hash, members, about } = message;
    const revision = memberTable.own.revision;
    memberTable.merge(entry, true);
    for (const memberEntry of about === undefined ? members : [about, ...members]) {
      memberTable.merge(memberEntry, false);
    }
    if (memberTable.own.revision !== revision) memberChangeQueue.add(memberTable.own);
    if (hash === memberTable.hash) this.differingPeers.delete(entry.id);
    else if (memberTable.record(entry.id) !== undefined) this.differingPeers.add(entry.id);
  }

  private sharedFields(receiver: string, withMembers: boolean, stated?: MemberEntry): SharedFields {
    const { memberTable, configurationView } = this.parts;
    const known = memberTable.record(receiver)?.entry;
    return {
      entry: packEntry(memberTable.own),
      version: configurationView.version,
      hash: memberTable.hash,
      ...(withMembers ? { members: this.selectMembers() } : {}),
      ...(known !== undefined && needsCorrection(known, stated) ? { about: packEntry(known) } : {}),
    };
  }

  /** The last changes, and older entries in turn, so that successive calls cover all members. */
  private selectMembers(): HeartbeatAnswer["members"] {
    const all = this.parts.memberTable.allRecords();
    const recent = all.slice(-RECENT_MEMBERS_PER_HEARTBEAT);
    const older = all.slice(0, -RECENT_MEMBERS_PER_HEARTBEAT);
    const count = MAX_MEMBERS_PER_HEARTBEAT - RECENT_MEMBERS_PER_HEARTBEAT;
    const start = this.nextMemberIndex % Math.max(1, older.length);
    this.nextMemberIndex = start + count;
    const chosen = [...older.slice(start), ...older.slice(0, start)].slice(0, count);
    return [...recent, ...chosen].map(({ entry }) => packEntry(entry));
  }
}

type ParsedHeartbeat = ReturnType<typeof heartbeatSchema.parse>;

function roundDemand({ services, teams }: DemandDigest): DemandDigest {
  const round = (rates: DemandDigest["teams"]): DemandDigest["teams"] =>
    Object.fromEntries(
      Object.entries(rates).map(([key, rate]) => [
        key,
        Number(rate.toPrecision(DEMAND_SIGNIFICANT_DIGITS)),
      ]),
    );
  return { services: round(services), teams: round(teams) };
}

/** Whether a member must correct its known entry; `stated` is the one that it sent itself. */
function needsCorrection(known: MemberEntry, stated: MemberEntry | undefined): boolean {
  return known.state === MemberState.Dead || (stated !== undefined && supersedes(known, stated));
}
