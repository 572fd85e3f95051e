import type { FrontSettings } from "../settings/front-settings.js";
import type { PeerSettings } from "../peer/peer-settings.js";

/** Calls that fail show a lost instance earlier; heartbeats are paid for all the time. */
const HEARTBEAT_INTERVAL_MS = 2_000;
/** Two lost heartbeats. */
const SUSPICION_TIMEOUT_MS = 4_500;
/** Above the longest freeze of a process that then goes on. */
const DEATH_TIMEOUT_MS = 10_000;
/** New instances announce themselves; the list only mends what that missed. All reads are priced. */
const LIST_INTERVAL_MS = 20_000;
/** Fleet size up to which all instances exchange heartbeats. */
const MAX_MESH_MEMBERS = 16;
const SUCCESSORS = 3;
/** The largest configuration that one instance hands to another. */
const MAX_BODY_BYTES = 8_388_608;
const MAX_HEADER_BYTES = 16_384;
const REQUEST_TIMEOUT_MS = 10_000;

/** The settings of the interface between daemons. */
export function peerSettingsOf(settings: FrontSettings): PeerSettings {
  return {
    instance: settings.instance,
    peers: {
      ...settings.peers,
      secret: settings.peerSecret,
      meshMembers: MAX_MESH_MEMBERS,
      successors: SUCCESSORS,
    },
    bounds: {
      heartbeatMs: HEARTBEAT_INTERVAL_MS,
      suspicionMs: SUSPICION_TIMEOUT_MS,
      deathMs: DEATH_TIMEOUT_MS,
    },
    instanceList: { intervalMs: LIST_INTERVAL_MS },
    limits: {
      bodyBytes: MAX_BODY_BYTES,
      headerBytes: MAX_HEADER_BYTES,
      headersTimeoutMs: REQUEST_TIMEOUT_MS,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
    },
  };
}
