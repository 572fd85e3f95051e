import type { CrashProbe } from "../forward/crash-probe.js";
import type { CrashRegistry } from "../forward/crash-registry.js";
import type { DecisionLines } from "../forward/decision-lines.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { PromptGuard } from "./prompt-guard.js";

interface Parts {
  readonly crashProbe: CrashProbe;
  readonly crashRegistry: CrashRegistry;
  readonly promptGuard: PromptGuard;
  readonly decisionLines: DecisionLines;
}

/** An attempt that broke off. */
export interface BrokenAttempt {
  readonly attemptId: string;
  readonly entry: UpstreamEntry;
  /** Identifies requests that are the same to an upstream. */
  readonly digest: string;
  readonly sharedParts: readonly string[];
  readonly phase: AttemptPhase;
}

/** Finds out whether attempts broke off because their upstream crashed, and records it. */
export class CrashReports {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): CrashReports {
    return new CrashReports(parts);
  }

  /**
   * Resolves with whether the upstream crashed as it began a response that a part of the prompt
   * may have caused to fail. Never rejects.
   */
  async record(attempt: BrokenAttempt): Promise<boolean> {
    const { crashProbe, crashRegistry, promptGuard, decisionLines } = this.parts;
    const { attemptId, entry, digest, sharedParts, phase } = attempt;
    const { id, service, startedMs } = entry;
    const crashed = await crashProbe.hasCrashed(entry);
    decisionLines.write("crash probe", { attempt: attemptId, upstream: id, crashed, phase });
    if (!crashed) return false;
    crashRegistry.recordCrash(digest, entry);
    if (phase !== AttemptPhase.Begun) return false;
    return promptGuard.recordCrash(service, `${id} ${startedMs}`, sharedParts);
  }
}
