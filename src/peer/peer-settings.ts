import type { Settings } from "../settings/settings.js";

/** Settings of membership and of the calls between daemons. */
export interface PeerSettings {
  readonly instance: Settings["instance"];
  readonly peers: Settings["peers"];
  readonly bounds: Pick<Settings["bounds"], "heartbeatMs" | "suspicionMs" | "deathMs">;
  readonly instanceList: Pick<Settings["instanceList"], "intervalMs">;
  readonly limits: Pick<
    Settings["limits"],
    "bodyBytes" | "headerBytes" | "headersTimeoutMs" | "requestTimeoutMs"
  >;
}
