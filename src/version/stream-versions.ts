import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { DecisionLines } from "../forward/decision-lines.js";
import type { ForwardMetrics } from "../forward/forward-metrics.js";
import type { RequestAttributes } from "../forward/request-attributes.js";
import type { Route } from "../forward/route.js";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";
import type { BegunStreams } from "./begun-streams.js";
import type { PlanKeeper } from "./plan-keeper.js";
import type { RecordReader } from "./record-reader.js";
import { isResumable } from "./stream-lifetime.js";
import { streamKey } from "./stream-key.js";
import type { StreamRecords } from "./stream-records.js";
import { StreamVersion } from "./stream-version.js";
import { allAgree, plannedVersion, unrecordedVersion } from "./version-plan.js";
import type { VersionPlans } from "./version-plans.js";

/** How an instance knows the version that began a stream. */
export enum VersionSource {
  /** It began or resumed the stream itself. */
  Own = "own",
  Stored = "stored",
  /** The plans of versions say it, and no record says otherwise. */
  Planned = "planned",
}

interface Parts {
  readonly directory: Pick<UpstreamDirectory, "forService">;
  readonly begunStreams: BegunStreams;
  readonly versionPlans: VersionPlans;
  readonly planKeeper: Pick<PlanKeeper, "refresh">;
  readonly recordReader: Pick<RecordReader, "find">;
  readonly streamRecords: Pick<StreamRecords, "add">;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: Pick<ForwardMetrics, "recordResumption">;
}

interface Input {
  readonly route: Route;
  readonly service: string;
  readonly attributes: Pick<RequestAttributes, "attemptId" | "resumes" | "lastEventId">;
}

/** Determines the software version at which each stream begins or goes on. */
export class StreamVersions {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StreamVersions {
    return new StreamVersions(parts);
  }

  /**
   * Throws `VersionUnknown` or `VersionGone` if the request resumes a stream that cannot go on; it
   * has not run then.
   */
  async choose(input: Input): Promise<StreamVersion> {
    const { route, service, attributes } = input;
    const { attemptId, resumes, lastEventId } = attributes;
    const isResumption = resumes !== undefined || lastEventId !== undefined;
    if (!isResumption && !isResumable(route)) return StreamVersion.unrestricted();
    const key = streamKey(service, resumes ?? attemptId);
    const { versionPlans, streamRecords, begunStreams } = this.parts;
    const plan = isResumption ? undefined : versionPlans.of(service);
    return StreamVersion.create({
      begun: isResumption ? await this.find(input, key) : undefined,
      planned: plan === undefined ? undefined : plannedVersion(plan, attemptId),
      isEvident: (version) => {
        const trusted = versionPlans.trusted(service);
        return trusted !== undefined && allAgree(trusted, attemptId, version);
      },
      store: (version, ordinal) => streamRecords.add({ key, version, ordinal }),
      onBegun: (version) => {
        begunStreams.add(key, version);
      },
    });
  }

  private async find({ service, attributes }: Input, key: string): Promise<string> {
    const { directory, decisionLines, forwardMetrics } = this.parts;
    const { attemptId: attempt, resumes } = attributes;
    const found = await this.lookUp(service, resumes ?? "", key);
    const entries = directory.forService(service);
    const serves = entries.some(({ softwareVersion }) => softwareVersion === found?.version);
    const outcome = found === undefined ? "unknown" : serves ? "serves" : "gone";
    decisionLines.write("stream resumed", { attempt, resumes, service, outcome, ...found });
    forwardMetrics.recordResumption(service, outcome);
    if (found === undefined) {
      const detail = "it is not known which software version began the stream";
      throw ServeError.create(ErrorKind.VersionUnknown, detail);
    }
    if (!serves) {
      const detail = `no upstream of software version "${found.version}" is left`;
      throw ServeError.create(ErrorKind.VersionGone, detail);
    }
    return found.version;
  }

  private async lookUp(
    service: string,
    attemptId: string,
    key: string,
  ): Promise<{ version: string; source: VersionSource } | undefined> {
    const { begunStreams, recordReader, planKeeper, versionPlans } = this.parts;
    const own = begunStreams.find(key);
    if (own !== undefined) return { version: own, source: VersionSource.Own };
    let stored: string | undefined;
    let era: number;
    try {
      [stored, era] = await Promise.all([recordReader.find(key), planKeeper.refresh()]);
    } catch {
      // The stream may have begun at another version than planned, and its record cannot be read.
      const version = versionPlans.onlyVersion(service);
      return version === undefined ? undefined : { version, source: VersionSource.Planned };
    }
    const plan = versionPlans.of(service);
    // In another era, the record may have been lost.
    if (stored === undefined && plan?.era !== era) return undefined;
    const version = stored ?? unrecordedVersion(plan, attemptId);
    const source = stored === undefined ? VersionSource.Planned : VersionSource.Stored;
    begunStreams.add(key, version);
    return { version, source };
  }
}
