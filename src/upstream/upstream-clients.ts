import type { Upstream } from "../configuration/configuration-document.js";
import type { UpstreamClient } from "./upstream-client.js";

/** The clients of all upstreams, created on first use. */
export interface UpstreamClients {
  of(upstream: Upstream): UpstreamClient;
  close(): Promise<void>;
}
