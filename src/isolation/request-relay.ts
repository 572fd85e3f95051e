import type { BufferBudget } from "../buffer/buffer-budget.js";
import { consumeBody } from "../buffer/consume-body.js";
import { readWhole } from "../buffer/read-whole.js";
import { ErrorKind } from "../error/error-kind.js";
import { Outcome } from "../error/outcome.js";
import { ServeError } from "../error/serve-error.js";
import type { DecisionLines } from "../forward/decision-lines.js";
import type { ForwardMetrics } from "../forward/forward-metrics.js";
import type { RequestContext } from "../forward/request-context.js";
import { aliveMembers } from "../peer/alive-members.js";
import { AvoidedInstances } from "../peer/avoided-instances.js";
import type { Member } from "../peer/member.js";
import type { Members } from "../peer/members.js";
import { INSTANCE_HEADER } from "../peer/peer-server.js";
import type { PeerSettings } from "../peer/peer-settings.js";
import type { RandomSource } from "../random/random-source.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "../upstream/connection.js";
import { encodeRelayedRequest } from "./relayed-request.js";
import { isUnreached } from "./unreached.js";
import type { UpstreamReach } from "./upstream-reach.js";

/** Path at which instances accept requests of others. */
export const RELAY_PATH = "/requests";
/** Header of responses to requests that were passed on; any other response declines the request. */
export const RELAYED_HEADER = "x-relayed";

/** Instances that are asked; several may be isolated themselves. */
const MAX_ASKED = 6;
/** Instances that are asked while upstreams may be gone for all, which each of them tries. */
const MAX_ASKED_IN_DOUBT = 2;
const CONNECT_TIMEOUT_MS = 250;
/** Bounds memory; instances send larger responses of upstreams in chunks. */
const MAX_RESPONSE_BYTES = 4_194_304;
/** Headers of the connection between the instances. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  ...["connection", "keep-alive", "transfer-encoding", "content-length", "date"],
  RELAYED_HEADER,
]);

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly self: string;
  readonly settings: PeerSettings;
  readonly members: Members;
  readonly upstreamReach: Pick<UpstreamReach, "isIsolated" | "isSuspect">;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: Pick<ForwardMetrics, "recordRelay">;
  readonly bufferBudget: BufferBudget;
}

/** Has requests served by another instance while this one does not reach its upstreams. */
export class RequestRelay {
  private readonly avoided: AvoidedInstances;

  private constructor(private readonly parts: Parts) {
    this.avoided = AvoidedInstances.create(parts.timers);
  }

  static create(parts: Parts): RequestRelay {
    return new RequestRelay(parts);
  }

  /** Serves a request by `serveHere` or at another instance; returns the status. */
  async serve(context: RequestContext, serveHere: () => Promise<number>): Promise<number> {
    const { upstreamReach } = this.parts;
    if (context.request.relayed === true) return serveHere();
    if (upstreamReach.isIsolated) {
      const status = await this.serveElsewhere(context);
      if (status !== undefined) return status;
    }
    try {
      return await serveHere();
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.Internal);
      if (!isUnreached(failure) || !upstreamReach.isSuspect || context.writer.started) throw error;
      const status = await this.serveElsewhere(context);
      if (status === undefined) throw error;
      return status;
    }
  }

  /** Returns undefined if no instance takes the request. */
  private async serveElsewhere(context: RequestContext): Promise<number | undefined> {
    const { random, members, decisionLines, forwardMetrics } = this.parts;
    const alive = aliveMembers(members);
    const usable = alive.filter(({ id }) => !this.avoided.has(id));
    const most = this.parts.upstreamReach.isIsolated ? MAX_ASKED : MAX_ASKED_IN_DOUBT;
    for (const member of random.sample(usable.length > 0 ? usable : alive, most)) {
      const status = await this.serveAt(member, context);
      const fields = { attempt: context.attributes.attemptId, instance: member.id, status };
      decisionLines.write(status === undefined ? "relay declined" : "relayed", fields);
      forwardMetrics.recordRelay(status === undefined ? "declined" : "relayed");
      if (status !== undefined) return status;
      this.avoided.add(member.id);
    }
    return undefined;
  }

  private async serveAt(member: Member, context: RequestContext): Promise<number | undefined> {
    const { timers } = this.parts;
    const { signal } = context;
    let connection: Connection;
    try {
      const address = member.peerAddress;
      connection = await Connection.open(address, timers, signal, CONNECT_TIMEOUT_MS);
    } catch {
      signal.throwIfAborted();
      return undefined;
    }
    try {
      return await this.exchange(connection, context);
    } catch (error) {
      if (error instanceof ServeError && error.undispatched) return undefined;
      if (signal.aborted) throw ServeError.from(signal.reason, ErrorKind.Internal).afterDispatch();
      throw ServeError.create(ErrorKind.UpstreamFailed, `instance ${member.id}: ${String(error)}`, {
        outcome: Outcome.MayHaveRun,
      });
    } finally {
      connection.destroy();
    }
  }

  private async exchange(
    connection: Connection,
    { request, writer, signal }: RequestContext,
  ): Promise<number | undefined> {
    const { self, settings, timers } = this.parts;
    const { statusCode, headers, body } = await connection.request({
      path: RELAY_PATH,
      method: "POST",
      headers: {
        authorization: `Bearer ${settings.peers.secret}`,
        [INSTANCE_HEADER]: self,
        "content-type": "application/octet-stream",
      },
      body: encodeRelayedRequest(request, timers.now()),
      reset: true,
      signal,
    });
    body.on("error", () => undefined);
    // It is isolated or about to stop, or its program does not know requests that are passed on.
    if (headers[RELAYED_HEADER] === undefined) return undefined;
    const callerHeaders = Object.entries(headers).flatMap(([name, value]) =>
      CONNECTION_HEADERS.has(name) ? [] : [value ?? ""].flat().flatMap((each) => [name, each]),
    );
    if (headers["content-length"] !== undefined) {
      const whole = await readWhole(body, MAX_RESPONSE_BYTES, this.parts.bufferBudget);
      writer.send(statusCode, callerHeaders, whole);
      return statusCode;
    }
    writer.start(statusCode, callerHeaders);
    await consumeBody(body, (chunk) => writer.write(chunk));
    writer.end();
    return statusCode;
  }
}
