import type { ConsolaInstance } from "consola";
import type { Work } from "../../src/admission/work.js";
import { Configuration } from "../../src/configuration/configuration.js";
import { Rank } from "../../src/configuration/rank.js";
import { DecisionLog } from "../../src/decision/decision-log.js";
import type { Settings } from "../../src/settings/settings.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";

const COST_MS = 100;
const FIRST_PORT = 9_000;

/** A decision log that is switched off. */
export const silentLog = DecisionLog.create({
  log: undefined as unknown as ConsolaInstance,
  settings: { log: { decisions: false } } as Settings,
});

/** The sample configuration with `count` retrievers of `slots` slots each. */
export function retrieverConfiguration(count: number, slots: number): Configuration {
  const ids = Array.from({ length: count }, (_, at) => `retriever-${at}`);
  const document = sampleConfiguration(
    ids.map((id, at) => ({ id, service: "retriever", port: FIRST_PORT + at })),
  );
  const upstreams = document.upstreams.map((upstream) => ({ ...upstream, slots }));
  return Configuration.create(1, { ...document, upstreams });
}

/** Work for a retriever. */
export function retrievalWork(request: string, team: string, rank: Rank, deadline: number): Work {
  return {
    request,
    team,
    className: rank,
    rank,
    stage: "retrieve",
    costMs: COST_MS,
    deadline,
    prompt: "",
    contentDigest: request,
    excluded: new Set(),
  };
}

export function rankOf(name: string): Rank {
  const rank = Object.values(Rank).find((known) => known.valueOf() === name);
  if (rank === undefined) throw new Error(`no rank ${name}`);
  return rank;
}
