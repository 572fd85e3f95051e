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
  IDS_PER_HEARTBEAT,
  MEMBERS_PER_HEARTBEAT,
} from "./heartbeat.js";
import type { HeartbeatReports } from "./heartbeat-reports.js";
import { type MemberEntry, packedEntry, supersedes } from "./member-entry.js";
import type { MemberNews } from "./member-news.js";
import { MemberState } from "./member-state.js";
import type { MemberTable } from "./member-table.js";
import type { PeerCalls } from "./peer-calls.js";
import { PeerMethod } from "./peer-method.js";
import type { PeerMethods } from "./peer-methods.js";

/** Members in a heartbeat that changed last; most differences of two views are recent. */
const RECENT_MEMBERS = 4;
/** Rates are decayed sums, whose further digits say nothing. */
const DEMAND_DIGITS = 3;

interface Parts {
  readonly settings: PeerSettings;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly memberTable: MemberTable;
  readonly memberNews: MemberNews;
  readonly broadcast: Broadcast;
  readonly heartbeatReports: HeartbeatReports;
  readonly configurationView: Pick<ConfigurationView, "version">;
  readonly demandSource: DemandSource;
}

type Shared = Pick<HeartbeatAnswer, "entry" | "version" | "hash" | "members" | "about">;

/** Exchanges heartbeats with other instances. */
export class Heartbeats {
  private nextMember = 0;
  /** Instances whose last heartbeat or answer showed another view of the members. */
  private readonly differing = new Set<string>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): Heartbeats {
    const heartbeats = new Heartbeats(parts);
    parts.peerMethods.register(PeerMethod.Heartbeat, (params) =>
      Promise.resolve(heartbeats.receive(heartbeatSchema.parse(params))),
    );
    return heartbeats;
  }

  /** Exchanges one heartbeat; throws `PeerUnavailable` without an answer in time. */
  async exchange(instance: string): Promise<void> {
    const { settings, peerCalls, broadcast, demandSource, heartbeatReports, memberTable } =
      this.parts;
    const heartbeat: Heartbeat = {
      ...this.shared(instance, this.differing.has(instance)),
      updates: broadcast.store.digest(IDS_PER_HEARTBEAT),
      // Limits are divided by demand only where every instance knows the demand of all.
      ...(memberTable.meshed ? { demand: rounded(demandSource.digest()) } : {}),
    };
    const timeoutMs = settings.bounds.heartbeatMs;
    const result = await peerCalls.call(instance, PeerMethod.Heartbeat, heartbeat, timeoutMs);
    const answer = heartbeatAnswerSchema.parse(result);
    // Another instance may have got the address of one that is gone.
    if (answer.entry.id !== instance) return;
    this.take(answer);
    heartbeatReports.note(instance, answer.version, undefined);
    if (answer.lacking.length > 0) void broadcast.repair(instance, answer.lacking);
  }

  private receive(heartbeat: ReturnType<typeof heartbeatSchema.parse>): HeartbeatAnswer {
    const { entry, version, demand, updates } = heartbeat;
    this.take(heartbeat);
    this.parts.heartbeatReports.note(entry.id, version, demand);
    return {
      ...this.shared(entry.id, this.differing.has(entry.id), entry),
      lacking: this.parts.broadcast.store.lacking(updates),
    };
  }

  private take(message: ReturnType<typeof heartbeatAnswerSchema.parse> | ParsedHeartbeat): void {
    const { memberTable, memberNews } = this.parts;
    const { entry, hash, members, about } = message;
    const revision = memberTable.own.revision;
    memberTable.learn(entry, true);
    for (const each of about === undefined ? members : [about, ...members]) {
      memberTable.learn(each, false);
    }
    if (memberTable.own.revision !== revision) memberNews.add(memberTable.own);
    if (hash === memberTable.hash) this.differing.delete(entry.id);
    else if (memberTable.record(entry.id) !== undefined) this.differing.add(entry.id);
  }

  private shared(receiver: string, differs: boolean, said?: MemberEntry): Shared {
    const { memberTable, configurationView } = this.parts;
    const known = memberTable.record(receiver)?.entry;
    return {
      entry: packedEntry(memberTable.own),
      version: configurationView.version,
      hash: memberTable.hash,
      ...(differs ? { members: this.someMembers() } : {}),
      ...(known !== undefined && isWrong(known, said) ? { about: packedEntry(known) } : {}),
    };
  }

  /** The last changes, and others such that successive calls go through all members. */
  private someMembers(): HeartbeatAnswer["members"] {
    const all = this.parts.memberTable.allRecords();
    const recent = all.slice(-RECENT_MEMBERS);
    const older = all.slice(0, -RECENT_MEMBERS);
    const count = MEMBERS_PER_HEARTBEAT - RECENT_MEMBERS;
    const start = this.nextMember % Math.max(1, older.length);
    this.nextMember = start + count;
    const chosen = [...older.slice(start), ...older.slice(0, start)].slice(0, count);
    return [...recent, ...chosen].map(({ entry }) => packedEntry(entry));
  }
}

type ParsedHeartbeat = ReturnType<typeof heartbeatSchema.parse>;

function rounded({ services, teams }: DemandDigest): DemandDigest {
  const round = (rates: DemandDigest["teams"]): DemandDigest["teams"] =>
    Object.fromEntries(
      Object.entries(rates).map(([key, rate]) => [key, Number(rate.toPrecision(DEMAND_DIGITS))]),
    );
  return { services: round(services), teams: round(teams) };
}

/** Whether the member must correct what is known of it; `said` is its own present statement. */
function isWrong(known: MemberEntry, said: MemberEntry | undefined): boolean {
  return known.state === MemberState.Dead || (said !== undefined && supersedes(known, said));
}
