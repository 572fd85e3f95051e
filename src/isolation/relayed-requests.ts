import type { FastifyReply, FastifyRequest } from "fastify";
import type { RequestForwarder } from "../forward/request-forwarder.js";
import { ResponseWriter } from "../forward/response-writer.js";
import type { PeerServer } from "../peer/peer-server.js";
import type { Timers } from "../time/timers.js";
import { decodeRelayedRequest } from "./relayed-request.js";
import { RELAYED_HEADER, RELAY_PATH } from "./request-relay.js";
import type { UpstreamReach } from "./upstream-reach.js";

const UNAVAILABLE = 503;

interface Parts {
  readonly timers: Timers;
  readonly peerServer: Pick<PeerServer, "handlePosts">;
  readonly upstreamReach: Pick<UpstreamReach, "isSuspect">;
  readonly requestForwarder: Pick<RequestForwarder, "serve">;
  /** Throws if this instance accepts no new requests. */
  readonly admit: () => void;
}

/** Serves requests that arrived at instances which do not reach their upstreams. */
export class RelayedRequests {
  private openRequests = 0;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): RelayedRequests {
    return new RelayedRequests(parts);
  }

  /** Number of requests whose response has not ended. */
  get inProgress(): number {
    return this.openRequests;
  }

  /** Must be called before the server for other instances listens. */
  start(): void {
    this.parts.peerServer.handlePosts(RELAY_PATH, (request, reply) => this.serve(request, reply));
  }

  private async serve(request: FastifyRequest, reply: FastifyReply): Promise<void> {
    const { timers, requestForwarder } = this.parts;
    reply.hijack();
    const { raw } = reply;
    if (!this.accepts()) {
      raw.writeHead(UNAVAILABLE, { connection: "close" }).end();
      return;
    }
    const closed = new AbortController();
    this.openRequests += 1;
    raw.once("close", () => {
      this.openRequests -= 1;
      if (!raw.writableFinished) closed.abort();
    });
    const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
    try {
      const relayed = decodeRelayedRequest(body, timers.now(), closed.signal);
      raw.setHeader(RELAYED_HEADER, "1");
      await requestForwarder.serve(
        relayed,
        () => Promise.resolve(relayed.body),
        ResponseWriter.create(raw, () => true),
      );
    } catch {
      // No upstream is reached here either, or an instance of another version encoded the request.
      raw.removeHeader(RELAYED_HEADER);
      raw.writeHead(UNAVAILABLE, { connection: "close" }).end();
    }
  }

  private accepts(): boolean {
    if (this.parts.upstreamReach.isSuspect) return false;
    try {
      this.parts.admit();
      return true;
    } catch {
      // This instance is about to stop.
      return false;
    }
  }
}
