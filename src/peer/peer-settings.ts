import type { Settings } from "../settings/settings.js";

/** What the parts for other instances need of the settings. */
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
