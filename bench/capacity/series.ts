import type { ConfigurationDocument } from "../../src/configuration/configuration-document.js";
import { UpstreamState } from "../../src/configuration/upstream-state.js";
import { Fleet, type FleetSize } from "../../standin/fleet.js";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import { createHash } from "node:crypto";
import { post } from "../../features/support/caller.js";
import { type Measurement, measured } from "./measurement.js";

const MS_PER_SECOND = 1_000;
const LOAD_MS = 8_000;
const DEADLINE_MS = 20_000;

/** Measurements of daemons at several sizes of one quantity. */
export interface Series {
  readonly name: string;
  /** What the sizes count. */
  readonly unit: string;
  readonly points: readonly { readonly size: number; readonly measurement: Measurement }[];
}

const idleSize: FleetSize = { daemons: 8, services: {}, settings: quiet };

/** Daemons without work, by number of daemons. */
export function membersSeries(): Promise<Series> {
  return series("idle daemons", "daemons", [8, 32, 64], (daemons) => ({
    ...idleSize,
    daemons,
  }));
}

/** Idle daemons, by number of upstreams, all of which are one stand-in. */
export function upstreamsSeries(): Promise<Series> {
  return series("idle daemons", "upstreams", [1, 400, 1_400], (count) => ({
    ...idleSize,
    services: { advice: 1 },
    configuration: (document) => withUpstreams(document, count),
  }));
}

/** Idle daemons, by number of teams. */
export function teamsSeries(): Promise<Series> {
  return series("idle daemons", "teams", [2, 600, 1_200], (count) => ({
    ...idleSize,
    configuration: (document) => ({ ...document, teams: teams(document, count) }),
  }));
}

/** One daemon under load, by requests per second of `tokens` tokens. */
export function requestsSeries(tokens: number): Promise<Series> {
  const size: FleetSize = {
    daemons: 1,
    services: { encoder: 1, retriever: 1, reranker: 1, advice: 4 },
    settings: quiet,
  };
  const load = (fleet: Fleet, rate: number): Promise<void> => sendRequests(fleet, rate, tokens);
  return series(`requests of ${tokens} tokens`, "requests/s", [5, 20, 40], () => size, load);
}

async function series(
  name: string,
  unit: string,
  sizes: readonly number[],
  fleetSize: (size: number) => FleetSize,
  load?: (fleet: Fleet, size: number) => Promise<void>,
): Promise<Series> {
  const points = [];
  for (const size of sizes) {
    const fleet = await Fleet.create(fleetSize(size));
    try {
      const measurement = await measured(fleet, load && (() => load(fleet, size)));
      points.push({ size, measurement });
    } finally {
      await fleet.stop();
    }
  }
  return { name, unit, points };
}

function quiet<Settings extends { readonly log: object }>(settings: Settings): Settings {
  return { ...settings, log: { format: "json", level: "error", decisions: false } };
}

function withUpstreams(document: ConfigurationDocument, count: number): ConfigurationDocument {
  const [first] = document.upstreams;
  if (first === undefined) return document;
  const upstreams = Array.from({ length: count }, (_, at) => ({
    ...first,
    id: `advice-${at + 1}`,
    state: UpstreamState.Active,
  }));
  return { ...document, upstreams };
}

function teams(document: ConfigurationDocument, count: number): ConfigurationDocument["teams"] {
  const more = Array.from({ length: count }, (_, at) => ({
    name: `team-${at + 1}`,
    credentialDigests: [createHash("sha256").update(`credential-${at}`).digest("hex")],
  }));
  return [...document.teams, ...more];
}

async function sendRequests(fleet: Fleet, rate: number, tokens: number): Promise<void> {
  const url = fleet.daemons[0]?.url ?? "";
  const count = (rate * LOAD_MS) / MS_PER_SECOND;
  const request = {
    credential: sampleCredentials.seamstresses,
    pipeline: "advice",
    body: {
      class: "summary",
      deadlineMs: DEADLINE_MS,
      input: { text: "which kaftan fits", maxTokens: tokens },
    },
  };
  const answers = await Promise.all(
    Array.from({ length: count }, async (_, at) => {
      await new Promise((resolve) => setTimeout(resolve, (at * MS_PER_SECOND) / rate));
      return post(url, request);
    }),
  );
  const whole = answers.filter(({ events }) => events.at(-1)?.kind === "end").length;
  if (whole < count) throw new Error(`${count - whole} of ${count} requests had no whole answer`);
}
