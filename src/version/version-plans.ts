import type { DecisionLines } from "../forward/decision-lines.js";
import type { StoreView } from "../forward/store-view.js";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";
import type { Updates } from "../peer/updates.js";
import type { LoopDelay } from "../time/loop-delay.js";
import { type VersionPlan, onlyVersion, versionPlanSchema } from "./version-plan.js";

/** Age of the rows of upstreams from which a plan may have changed without this instance. */
const MAX_ROWS_AGE_MS = 5_000;
/** As `MAX_ROWS_AGE_MS`, where no record says more; an instance reads rows twice in this time. */
const MAX_CERTAIN_AGE_MS = 1_400;
/** Delay of this process after which the age of its rows is in doubt. */
const MAX_LOOP_DELAY_MS = 1_000;

interface Parts {
  readonly directory: Pick<UpstreamDirectory, "forService">;
  readonly storeView: Pick<StoreView, "era" | "upstreamsAgeMs">;
  readonly updates: Updates;
  readonly loopDelay: Pick<LoopDelay, "recentMs">;
  readonly decisionLines: DecisionLines;
}

/** The plans of all services as this instance knows them. */
export class VersionPlans {
  private readonly byService = new Map<string, VersionPlan>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): VersionPlans {
    const plans = new VersionPlans(parts);
    parts.updates.subscribe((update) => {
      if (update.kind === "version-plan") plans.adopt(update.service, update.plan);
    });
    return plans;
  }

  of(service: string): VersionPlan | undefined {
    return this.byService.get(service);
  }

  /** Takes over a plan that is stored, unless it is older. */
  adopt(service: string, plan: VersionPlan): void {
    if (plan.sequence <= (this.byService.get(service)?.sequence ?? 0)) return;
    this.byService.set(service, plan);
    const { sequence, distributions } = plan;
    const { places } = distributions.at(-1) ?? {};
    const fields = { service, sequence, distributions: distributions.length, places };
    this.parts.decisionLines.write("software versions planned", fields);
  }

  /** Takes over the text of a row, unless it is older or cannot be read. */
  adoptText(service: string, text: string): void {
    const plan = versionPlanSchema.safeParse(parseJson(text));
    if (plan.success) this.adopt(service, plan.data);
  }

  /**
   * The version of all streams of a service if it has one only; undefined if this instance may have
   * missed that another version joined.
   */
  onlyVersion(service: string): string | undefined {
    const { storeView, loopDelay } = this.parts;
    if (storeView.upstreamsAgeMs > MAX_CERTAIN_AGE_MS) return undefined;
    return loopDelay.recentMs > MAX_LOOP_DELAY_MS ? undefined : onlyVersion(this.trusted(service));
  }

  /**
   * The plan by which streams may begin without a record; undefined if the plan of other instances
   * may be another one, or records were lost.
   */
  trusted(service: string): VersionPlan | undefined {
    const { storeView, directory } = this.parts;
    const plan = this.byService.get(service);
    if (plan?.era !== storeView.era || storeView.upstreamsAgeMs > MAX_ROWS_AGE_MS) return undefined;
    const planned = new Set(plan.distributions.at(-1)?.places.map(([version]) => version));
    const entries = directory.forService(service);
    return entries.every(({ softwareVersion }) => planned.has(softwareVersion)) ? plan : undefined;
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
