import type { FrontSettings } from "../settings/front-settings.js";
import type { PeerSettings } from "../peer/peer-settings.js";

/** Failed calls reveal a lost instance earlier, and heartbeats cost traffic all the time. */
const HEARTBEAT_INTERVAL_MS = 2_000;
/** Two missed heartbeats. */
const SUSPICION_TIMEOUT_MS = 4_500;
/** Longer than the longest freeze after which a process still continues. */
const DEATH_TIMEOUT_MS = 10_000;
/**
 * New instances announce themselves, so the list only covers missed announcements; every read of
 * the store is charged.
 */
const LIST_INTERVAL_MS = 20_000;
/** Largest fleet in which every instance exchanges heartbeats with every other. */
const MAX_MESH_MEMBERS = 16;
const SUCCESSORS = 3;
/** Bounds the configuration that one instance sends to another. */
const MAX_BODY_BYTES = 8_388_608;
const MAX_HEADER_BYTES = 16_384;
const REQUEST_TIMEOUT_MS = 10_000;

/** Settings of the peer interface, through which daemons call each other. */
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
