import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { type Fleet, OPERATOR_CREDENTIAL, OTHER_OPERATOR_CREDENTIAL } from "../../standin/fleet.js";

const POLL_MS = 100;

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

/** Operators of a fleet, what they are told, and the versions that the daemons show them. */
export class FleetOperators {
  private readonly told: Promise<string>[] = [];
  private readonly highest = new Map<string, number>();

  private constructor(private readonly fleet: Fleet) {}

  static create(fleet: Fleet): FleetOperators {
    return new FleetOperators(fleet);
  }

  /** Sends a change of the target of class `chat` without waiting for its answer. */
  change(operator: string, changeId: string, baseVersion: number, daemon: number): void {
    const body = { changeId, baseVersion, timeMs: 2_000, share: 0.8 };
    this.told.push(this.send(operator, daemon, "PUT", "/v1/classes/chat/target", body).then(text));
  }

  /** Marks an upstream as leaving. */
  async leave(upstream: string, daemon: number): Promise<void> {
    const path = `/v1/upstreams/${upstream}?changeId=leave-${upstream}`;
    assert.equal((await this.send("amal", daemon, "DELETE", path)).status, 200);
  }

  /** Waits for all answers. */
  answers(): Promise<readonly string[]> {
    return Promise.all(this.told);
  }

  /** The version that a daemon shows; fails if it is lower than one that it showed before. */
  async version(daemon: number): Promise<number> {
    const { body } = await this.send("amal", daemon, "GET", "/v1/configuration");
    const { version } = body as { version: number };
    const { id } = this.fleet.daemon(daemon).settings.instance;
    assert.ok(version >= (this.highest.get(id) ?? 0), `daemon ${daemon} went back to ${version}`);
    this.highest.set(id, version);
    return version;
  }

  /** Polls until all daemons show a version; fails after `ms`. Returns the time taken in ms. */
  async reach(daemons: readonly number[], version: number, ms: number): Promise<number> {
    const start = performance.now();
    for (;;) {
      const versions = await Promise.all(daemons.map((daemon) => this.version(daemon)));
      const tookMs = performance.now() - start;
      if (versions.every((one) => one === version)) return tookMs;
      assert.ok(tookMs < ms, `versions ${versions.join(", ")} after ${tookMs} ms`);
      await delay(POLL_MS);
    }
  }

  private async send(
    operator: string,
    daemon: number,
    method: string,
    path: string,
    body?: object,
  ): Promise<Reply> {
    const credential = operator === "amal" ? OPERATOR_CREDENTIAL : OTHER_OPERATOR_CREDENTIAL;
    const { port } = this.fleet.daemon(daemon).settings.operators;
    const response = await fetch(`http://127.0.0.1:${port}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${credential}`,
        ...(body === undefined ? {} : { "content-type": "application/json" }),
      },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { status: response.status, body: await response.json() };
  }
}

function text({ body }: Reply): string {
  const { change, kind } = body as { change?: { version: number }; kind?: string };
  return change === undefined ? (kind ?? "") : `accepted ${change.version}`;
}
