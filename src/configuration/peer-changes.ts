import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import { Configuration } from "./configuration.js";
import { type ConfigurationChange, changeSchema } from "./configuration-change.js";
import type { ConfigurationView } from "./configuration-view.js";

const CALL_TIMEOUT_MS = 1_000;
/** Changes kept for others; an instance that lags further gets a snapshot. */
const KEPT_CHANGES = 64;

const paramsSchema = z.object({ version: z.number().int().nonnegative() });
const answerSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("changes"), changes: z.array(changeSchema) }),
  z.object({
    kind: z.literal("snapshot"),
    version: z.number().int().positive(),
    document: z.unknown(),
  }),
]);

interface Parts {
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly configurationView: ConfigurationView;
}

/** Exchanges configuration changes with other instances. */
export class PeerChanges {
  private readonly kept: ConfigurationChange[] = [];

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): PeerChanges {
    const changes = new PeerChanges(parts);
    parts.peerMethods.register(PeerMethod.ConfigurationChangesSince, (params) =>
      Promise.resolve().then(() => changes.since(params)),
    );
    return changes;
  }

  /** Keeps a change that was put in force here. */
  keep(change: ConfigurationChange): void {
    if (this.kept.at(-1)?.version !== change.version - 1) this.kept.length = 0;
    this.kept.push(change);
    if (this.kept.length > KEPT_CHANGES) this.kept.shift();
  }

  /**
   * The changes that another instance has above the version here, or its whole configuration.
   * Throws `PeerUnavailable` or `InvalidConfiguration`.
   */
  async fetch(instance: string): Promise<readonly ConfigurationChange[] | Configuration> {
    const { peerCalls, configurationView } = this.parts;
    const { version } = configurationView;
    const method = PeerMethod.ConfigurationChangesSince;
    const answer = answerSchema.safeParse(
      await peerCalls.call(instance, method, { version }, CALL_TIMEOUT_MS),
    );
    if (!answer.success) {
      const detail = `changes of instance ${instance} are not readable`;
      throw ServeError.create(ErrorKind.InvalidConfiguration, detail);
    }
    const { data } = answer;
    if (data.kind === "changes") return data.changes;
    return Configuration.create(data.version, data.document);
  }

  private since(params: unknown): z.input<typeof answerSchema> {
    const { configuration } = this.parts.configurationView;
    const { version } = paramsSchema.parse(params);
    if (configuration === undefined || version >= configuration.version) {
      return { kind: "changes", changes: [] };
    }
    const changes = this.kept.filter((change) => change.version > version);
    if (changes[0]?.version === version + 1 && changes.at(-1)?.version === configuration.version) {
      return { kind: "changes", changes };
    }
    return {
      kind: "snapshot",
      version: configuration.version,
      document: configuration.document,
    };
  }
}
