import { After } from "@cucumber/cucumber";
import type { Settings } from "../../src/settings/settings.js";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import type { CallerAnswer } from "./caller-answer.js";
import { received } from "./caller.js";
import { CallerHost } from "./caller-host.js";
import { MemoryLedger } from "./memory-ledger.js";
import { MemoryPeers } from "./memory-peers.js";

const hostsByScenario = new WeakMap<object, CallerHosts>();

/** Options of one request of a test. */
export interface Exchange {
  readonly key?: string;
  readonly text?: string;
  readonly stream?: boolean;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
  readonly resend?: boolean;
}

/** The instances of a scenario, which share peers and a ledger. */
export class CallerHosts {
  readonly peers = new MemoryPeers();
  readonly ledger = new MemoryLedger();
  readonly hosts: CallerHost[] = [];

  /** The instances of a scenario; they are closed when it ends. */
  static of(scenario: object): CallerHosts {
    const hosts = hostsByScenario.get(scenario) ?? new CallerHosts();
    hostsByScenario.set(scenario, hosts);
    return hosts;
  }

  get first(): CallerHost {
    return this.at(1);
  }

  /** An instance by its number, from 1. */
  at(number: number): CallerHost {
    const host = this.hosts[number - 1];
    if (host === undefined) throw new Error(`the scenario has no instance ${number}`);
    return host;
  }

  async start(count: number, limits: Partial<Settings["limits"]> = {}): Promise<void> {
    for (let at = 1; at <= count; at += 1) {
      this.hosts.push(await CallerHost.create(`fes-a-${at}`, this, limits));
    }
  }

  /** Posts to a pipeline without reading the answer. */
  begin(host: CallerHost, pipeline: string, exchange: Exchange = {}): Promise<Response> {
    const { key, text = "hello", stream = true, deadlineMs = 5_000, signal } = exchange;
    const { resend = false } = exchange;
    return fetch(`${host.url}/v1/pipelines/${pipeline}/requests`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${sampleCredentials.seamstresses}`,
        "content-type": "application/json",
        ...(key === undefined ? {} : { "idempotency-key": key }),
      },
      body: JSON.stringify({ class: "fitting", deadlineMs, input: { text }, stream, resend }),
      signal: signal ?? null,
    });
  }

  async post(host: CallerHost, pipeline: string, exchange?: Exchange): Promise<CallerAnswer> {
    return received(await this.begin(host, pipeline, exchange));
  }

  async get(
    host: CallerHost,
    path: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<CallerAnswer> {
    const authorization = `Bearer ${sampleCredentials.seamstresses}`;
    return received(await fetch(host.url + path, { headers: { authorization, ...headers } }));
  }

  async close(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.close()));
  }
}

After(async function () {
  await hostsByScenario.get(this)?.close();
});
