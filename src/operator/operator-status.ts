import type { AnswerLog } from "../caller/answer-log.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { UpstreamState } from "../configuration/upstream-state.js";
import type { Readiness, UnreadyReason } from "../daemon/readiness.js";
import type { Rank } from "../configuration/rank.js";
import type { Target } from "../configuration/configuration-document.js";
import type { ClassAttainment } from "../metrics/attainment-window.js";
import type { Metrics } from "../metrics/metrics.js";
import type { MemberState } from "../peer/member-state.js";
import type { Members } from "../peer/members.js";
import type { PeerVersions } from "../peer/peer-versions.js";
import type { Settings } from "../settings/settings.js";

interface Parts {
  readonly settings: Settings;
  readonly readiness: Readiness;
  readonly configurationView: ConfigurationView;
  readonly members: Members;
  readonly peerVersions: PeerVersions;
  readonly answerLog: AnswerLog;
  readonly metrics: Pick<Metrics, "attainment">;
}

/** Attainment of a class beside its target. */
export interface ClassStatus extends ClassAttainment {
  readonly rank: Rank | undefined;
  readonly target: Target | undefined;
}

/** What one instance tells operators about itself and about the others. */
export interface OperatorStatus {
  readonly instance: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  readonly reasons: readonly UnreadyReason[];
  readonly configurationVersion: number;
  readonly requestsInProgress: number;
  /** Classes with requests in the last five minutes, beside their targets. */
  readonly classes: readonly ClassStatus[];
  readonly upstreams: readonly {
    readonly id: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly state: UpstreamState;
  }[];
  readonly members: readonly {
    readonly id: string;
    readonly dataCentre: string;
    readonly state: MemberState;
    /** Version in the last heartbeat; absent before the first one. */
    readonly configurationVersion?: number;
  }[];
}

/** Reads the status of this instance. */
export function operatorStatus(parts: Parts): OperatorStatus {
  const { settings, readiness, configurationView, members, answerLog } = parts;
  const versions = new Map(
    parts.peerVersions.versions().map(({ instance, version }) => [instance, version]),
  );
  const upstreams = configurationView.configuration?.document.upstreams ?? [];
  return {
    instance: settings.instance.id,
    dataCentre: settings.instance.dataCentre,
    ready: readiness.ready,
    reasons: readiness.reasons,
    configurationVersion: configurationView.version,
    requestsInProgress: answerLog.inProgress,
    classes: classStatus(parts),
    upstreams: upstreams.map(({ id, service, dataCentre, state }) => ({
      id,
      service,
      dataCentre,
      state,
    })),
    members: members.all().map(({ id, dataCentre, state }) => {
      const configurationVersion = versions.get(id);
      return configurationVersion === undefined
        ? { id, dataCentre, state }
        : { id, dataCentre, state, configurationVersion };
    }),
  };
}

function classStatus({ metrics, configurationView }: Parts): ClassStatus[] {
  return metrics.attainment().map((attainment) => {
    const workClass = configurationView.configuration?.workClass(attainment.className);
    return { ...attainment, rank: workClass?.rank, target: workClass?.target };
  });
}
