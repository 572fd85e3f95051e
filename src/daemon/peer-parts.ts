import type { DemandReports } from "../admission/demand-reports.js";
import type { CallRider } from "../peer/call-rider.js";
import { AddressBook } from "../peer/address-book.js";
import { Broadcast } from "../peer/broadcast.js";
import { HeartbeatReports } from "../peer/heartbeat-reports.js";
import { Heartbeats } from "../peer/heartbeats.js";
import { InstanceListSync } from "../peer/instance-list-sync.js";
import { MemberChangeQueue } from "../peer/member-change-queue.js";
import { MemberTable } from "../peer/member-table.js";
import type { Members } from "../peer/members.js";
import { Membership } from "../peer/membership.js";
import { PeerClients } from "../peer/peer-clients.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import { PeerServer } from "../peer/peer-server.js";
import type { PeerVersions } from "../peer/peer-versions.js";
import type { Updates } from "../peer/updates.js";
import { aliasTo, asFunction, asValue } from "awilix";
import type { Cradle } from "./container.js";

/** The parts for other instances. */
export interface PeerCradle {
  readonly addressBook: AddressBook;
  readonly peerServer: PeerServer;
  readonly peerMethods: PeerMethods;
  readonly peerCalls: PeerClients;
  /** Undefined if calls carry nothing beside. */
  readonly callRider: CallRider | undefined;
  readonly memberTable: MemberTable;
  readonly members: Members;
  /** Start time of this process in ms since the epoch. */
  readonly incarnation: number;
  readonly broadcast: Broadcast;
  readonly updates: Updates;
  readonly memberChangeQueue: MemberChangeQueue;
  readonly heartbeatReports: HeartbeatReports;
  readonly demandReports: DemandReports;
  readonly peerVersions: PeerVersions;
  readonly heartbeats: Heartbeats;
  readonly instanceListSync: InstanceListSync;
  readonly membership: Membership;
}

/** How the parts for other instances are made. */
export const peerParts = {
  addressBook: asFunction(() => AddressBook.create()).singleton(),
  peerServer: asFunction(PeerServer.create).singleton(),
  peerMethods: aliasTo("peerServer"),
  peerCalls: asFunction(PeerClients.create).singleton(),
  callRider: asValue(undefined),
  memberTable: asFunction(MemberTable.create).singleton(),
  members: aliasTo("memberTable"),
  incarnation: asFunction((parts: Cradle) => parts.memberTable.own.incarnation).singleton(),
  broadcast: asFunction((parts: Cradle) => Broadcast.create(parts)).singleton(),
  updates: aliasTo("broadcast"),
  memberChangeQueue: asFunction(MemberChangeQueue.create).singleton(),
  heartbeatReports: asFunction(HeartbeatReports.create).singleton(),
  demandReports: aliasTo("heartbeatReports"),
  peerVersions: aliasTo("heartbeatReports"),
  heartbeats: asFunction(Heartbeats.create).singleton(),
  instanceListSync: asFunction(InstanceListSync.create).singleton(),
  membership: asFunction(Membership.create).singleton(),
};
