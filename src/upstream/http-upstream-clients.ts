import type { Upstream } from "../configuration/configuration-document.js";
import type { Timers } from "../time/timers.js";
import type { DroppedAnswers } from "./dropped-answers.js";
import { HttpUpstreamClient } from "./http-upstream-client.js";
import type { UpstreamClient } from "./upstream-client.js";
import type { UpstreamClients } from "./upstream-clients.js";

interface Parts {
  readonly timers: Timers;
  readonly droppedAnswers: DroppedAnswers;
}

/** HTTP clients of upstreams, one per address. */
export class HttpUpstreamClients implements UpstreamClients {
  private readonly clients = new Map<string, HttpUpstreamClient>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): HttpUpstreamClients {
    return new HttpUpstreamClients(parts);
  }

  of(upstream: Upstream): UpstreamClient {
    const existing = this.clients.get(upstream.address);
    if (existing !== undefined) return existing;
    const client = HttpUpstreamClient.create(
      upstream.address,
      this.parts.timers,
      this.parts.droppedAnswers,
    );
    this.clients.set(upstream.address, client);
    return client;
  }

  async close(): Promise<void> {
    await Promise.all([...this.clients.values()].map((client) => client.close()));
    this.clients.clear();
  }
}
