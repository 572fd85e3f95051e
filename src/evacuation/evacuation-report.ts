import type { DecisionLines } from "../forward/decision-lines.js";
import type { ForwardMetrics } from "../forward/forward-metrics.js";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";
import type { Timers } from "../time/timers.js";
import type { EvacuationChange, Evacuations } from "./evacuations.js";

interface Parts {
  readonly timers: Timers;
  readonly directory: Pick<UpstreamDirectory, "servingCounts">;
  readonly evacuations: Evacuations;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: Pick<ForwardMetrics, "setEvacuated">;
}

/** Logs and counts the evacuations that begin and end at this instance. */
export class EvacuationReport {
  private readonly begunMs = new Map<string, number>();

  private constructor(private readonly parts: Parts) {}

  /** `directory` must have been created before, so that it counts the change already. */
  static create({
    timers,
    directory,
    evacuations,
    decisionLines,
    forwardMetrics,
  }: Parts): EvacuationReport {
    const report = new EvacuationReport({
      timers,
      directory,
      evacuations,
      decisionLines,
      forwardMetrics,
    });
    evacuations.subscribe((changes) => {
      for (const change of changes) report.write(change);
    });
    return report;
  }

  private write({ dataCentre, evacuated }: EvacuationChange): void {
    const { timers, directory, decisionLines, forwardMetrics } = this.parts;
    forwardMetrics.setEvacuated(dataCentre, evacuated);
    const upstreams = directory.servingCounts;
    if (evacuated) {
      this.begunMs.set(dataCentre, timers.now());
      decisionLines.write("evacuation began", { dataCentre, upstreams });
      return;
    }
    const lastedMs = Math.round(timers.now() - (this.begunMs.get(dataCentre) ?? timers.now()));
    this.begunMs.delete(dataCentre);
    decisionLines.write("evacuation ended", { dataCentre, lastedMs, upstreams });
  }
}
