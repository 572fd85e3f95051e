import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { Upstream } from "../configuration/configuration-document.js";
import type { WantedModels } from "./wanted-models.js";

/** Wants on each engine the model of its service. */
export class ConfiguredModels implements WantedModels {
  private constructor(private readonly view: ConfigurationView) {}

  static create(parts: { configurationView: ConfigurationView }): ConfiguredModels {
    return new ConfiguredModels(parts.configurationView);
  }

  wanted(engine: Upstream): readonly string[] | undefined {
    const model = this.view.configuration?.service(engine.service)?.model;
    return model !== undefined && engine.models?.includes(model) === true ? [model] : undefined;
  }
}
