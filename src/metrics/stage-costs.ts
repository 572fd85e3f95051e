import type { Upstream } from "../configuration/configuration-document.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { Settings } from "../settings/settings.js";
import type { Metrics } from "./metrics.js";

interface Parts {
  readonly settings: Settings;
  readonly configurationView: ConfigurationView;
  readonly metrics: Pick<Metrics, "attemptEnded">;
}

/** Reports what attempts cost, the link to the upstream's data centre included. */
export class StageCosts {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StageCosts {
    return new StageCosts(parts);
  }

  /** Counts an ended attempt; `extra` is true for retries and hedges. */
  record(stage: string, upstream: Upstream, durationMs: number, extra: boolean): void {
    const { settings, configurationView, metrics } = this.parts;
    const { service, dataCentre } = upstream;
    const link = configurationView.configuration?.link(settings.instance.dataCentre, dataCentre);
    metrics.attemptEnded({ stage, service, durationMs, linkCost: link?.cost ?? 0, extra });
  }
}
