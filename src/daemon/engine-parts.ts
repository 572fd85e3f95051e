import { aliasTo, asFunction } from "awilix";
import { EngineLoad } from "../engine/engine-load.js";
import { EnginePlacement } from "../engine/engine-placement.js";
import { EngineSpeeds } from "../engine/engine-speeds.js";
import { LoadExchange } from "../engine/load-exchange.js";
import { PartDemand } from "../engine/part-demand.js";

/** The parts that place requests at engines. */
export interface EngineCradle {
  readonly engineLoad: EngineLoad;
  readonly engineSpeeds: EngineSpeeds;
  readonly partDemand: PartDemand;
  readonly enginePlacement: EnginePlacement;
  readonly loadExchange: LoadExchange;
}

/** How the parts that place requests at engines are made. */
export const engineParts = {
  engineLoad: asFunction(EngineLoad.create).singleton(),
  engineSpeeds: asFunction(EngineSpeeds.create).singleton(),
  partDemand: asFunction(PartDemand.create).singleton(),
  enginePlacement: asFunction(EnginePlacement.create).singleton(),
  loadExchange: asFunction(LoadExchange.create).singleton(),
  callRider: aliasTo("loadExchange"),
};
