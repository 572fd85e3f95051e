import { EngineLoad } from "../../src/engine/engine-load.js";
import { EnginePlacement } from "../../src/engine/engine-placement.js";
import { EngineSpeeds } from "../../src/engine/engine-speeds.js";
import { LoadExchange } from "../../src/engine/load-exchange.js";
import { PartDemand } from "../../src/engine/part-demand.js";
import type { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import type { Timers } from "../../src/time/timers.js";

/** The parts of one instance that place requests at engines. */
export interface EngineFleetParts {
  readonly engineSpeeds: EngineSpeeds;
  readonly partDemand: PartDemand;
  readonly enginePlacement: EnginePlacement;
  readonly loadExchange: LoadExchange;
}

/** Makes them for an instance with this clock and health of upstreams. */
export function engineFleetParts(parts: {
  timers: Timers;
  upstreamHealth: UpstreamHealthRegistry;
}): EngineFleetParts {
  const engineLoad = EngineLoad.create(parts);
  const engineSpeeds = EngineSpeeds.create(parts);
  const partDemand = PartDemand.create(parts);
  const all = {
    ...{ ...parts, engineLoad, engineSpeeds, partDemand },
    decisionLines: { write: (): undefined => undefined },
    forwardMetrics: { recordPlacement: (): undefined => undefined },
  };
  return {
    ...{ engineSpeeds, partDemand },
    enginePlacement: EnginePlacement.create(all),
    loadExchange: LoadExchange.create(all),
  };
}
