import type { DispatchParts } from "../forward/dispatch-parts.js";
import { expectedLatencyMs } from "../forward/expected-latency.js";
import type { SelectionOutcome } from "../forward/permitted-selection.js";
import type { RequestContext } from "../forward/request-context.js";
import type { StageInputs } from "../forward/stage-inputs.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { StreamVersion } from "./stream-version.js";
import { hasRoom } from "./upstream-room.js";

/** Pause before a stream is offered once more to upstreams that declined to continue it. */
const DECLINED_PAUSE_MS = 200;

/** Lower bound of the retry delay of a request that found all upstreams closed. */
const MIN_RETRY_AFTER_MS = 300;
/** Pause before upstreams that are closed to this instance are considered again. */
const CLOSED_PAUSE_MS = 20;

type Parts = Pick<
  DispatchParts,
  "timers" | "directory" | "upstreamHealth" | "permittedSelection" | "brittleUpstreams"
>;

type OpenOutcome = Exclude<SelectionOutcome, { kind: "closed" }>;

/** Selects the upstreams for the attempts of one request, one after the other. */
export class AttemptSelection {
  private readonly tried = new Set<string>();
  /** Those of the tried upstreams that declined without running the request. */
  private readonly declined = new Set<string>();

  private constructor(
    private readonly parts: Parts,
    private readonly context: RequestContext,
    private readonly streamVersion: StreamVersion,
    private readonly inputs: StageInputs | undefined,
  ) {}

  static create(
    parts: Parts,
    context: RequestContext,
    streamVersion: StreamVersion,
    inputs: StageInputs | undefined,
  ): AttemptSelection {
    return new AttemptSelection(parts, context, streamVersion, inputs);
  }

  /** Excludes an upstream from further attempts. */
  recordAttempt({ id }: UpstreamEntry): void {
    this.tried.add(id);
  }

  /** Records that nothing was sent to an upstream, as it needs a permit. */
  recordUnused({ id }: UpstreamEntry): void {
    this.tried.delete(id);
  }

  recordDeclined({ id }: UpstreamEntry): void {
    this.declined.add(id);
  }

  /** `mayHaveRun` tells whether an attempt of the request may have run. */
  async select(mayHaveRun: boolean): Promise<OpenOutcome> {
    const outcome = await this.selectOpen(mayHaveRun);
    if (outcome.kind !== "none" || !this.streamVersion.isBegun || this.declined.size === 0)
      return outcome;
    // The stream can only go on at an upstream of its version, which may have room again.
    await this.parts.timers.sleep(DECLINED_PAUSE_MS, this.context.signal);
    for (const id of this.declined) this.tried.delete(id);
    this.declined.clear();
    return this.selectOpen(mayHaveRun);
  }

  /** Waits until the target while all upstreams that are left are closed to this instance. */
  private async selectOpen(mayHaveRun: boolean): Promise<OpenOutcome> {
    const { timers } = this.parts;
    const { context } = this;
    const endMs = context.targetMs - expectedLatencyMs(context.route);
    for (;;) {
      const closed = this.closedUpstreams();
      const outcome = await this.selectUntried(mayHaveRun, closed);
      if (outcome.kind === "closed") continue;
      if (outcome.kind !== "none" || closed.length === 0) return outcome;
      if (timers.now() >= endMs) return { kind: "limited", availableInMs: MIN_RETRY_AFTER_MS };
      await timers.sleep(CLOSED_PAUSE_MS, context.signal);
    }
  }

  private closedUpstreams(): string[] {
    const { directory, upstreamHealth, brittleUpstreams } = this.parts;
    return directory
      .forService(this.context.service)
      .filter(({ id }) => !this.tried.has(id))
      .flatMap((entry) =>
        brittleUpstreams.isClosed(entry, upstreamHealth.of(entry.id)) ? [entry.id] : [],
      );
  }

  private selectUntried(mayHaveRun: boolean, closed: readonly string[]): Promise<SelectionOutcome> {
    const { permittedSelection, directory, upstreamHealth } = this.parts;
    const { context, inputs } = this;
    const excluded = this.streamVersion.excluded(
      directory.forService(context.service),
      (entry) =>
        !this.tried.has(entry.id) &&
        !closed.includes(entry.id) &&
        hasRoom(entry, upstreamHealth.of(entry.id)),
    );
    const tried = new Set([...this.tried, ...excluded, ...closed]);
    return permittedSelection.select({ context, tried, mayHaveRun, inputs });
  }
}
