import type { z } from "zod";
import { Configuration } from "../configuration/configuration.js";
import type {
  ConfigurationChange,
  ConfigurationUpdate,
} from "../configuration/configuration-change.js";
import type { ConfigurationRegistry } from "../configuration/configuration-registry.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { updatedDocument } from "../configuration/document-difference.js";
import { Section } from "../configuration/section.js";
import { UpstreamState } from "../configuration/upstream-state.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type {
  changeBodySchema,
  removalQuerySchema,
  targetBodySchema,
  upstreamBodySchema,
} from "./operator-bodies.js";

interface Parts {
  readonly configurationView: ConfigurationView;
  readonly configurationRegistry: ConfigurationRegistry;
}

/** What an operator learns of a change. */
export type ChangeResult =
  | { readonly accepted: true; readonly change: ConfigurationChange }
  /** The change would be accepted on this version. */
  | { readonly accepted: false; readonly dryRun: true; readonly baseVersion: number };

/** Turns what operators ask for into proposals. */
export class OperatorChanges {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): OperatorChanges {
    return new OperatorChanges(parts);
  }

  /** The configuration in force; throws `NotReady` before the first version. */
  get configuration(): Configuration {
    const { configuration } = this.parts.configurationView;
    if (configuration !== undefined) return configuration;
    throw ServeError.create(ErrorKind.NotReady, "no configuration is in force yet");
  }

  /** Submits or checks a change; throws as `ConfigurationRegistry.submit` does. */
  async change(operator: string, body: z.output<typeof changeBodySchema>): Promise<ChangeResult> {
    const { dryRun, ...proposal } = body;
    if (dryRun) return this.checked(body.baseVersion, body.updates);
    const { configurationRegistry } = this.parts;
    return {
      accepted: true,
      change: await configurationRegistry.submit({ operator, ...proposal }),
    };
  }

  setTarget(
    operator: string,
    name: string,
    body: z.output<typeof targetBodySchema>,
  ): Promise<ChangeResult> {
    const workClass = this.configuration.workClass(name);
    if (workClass === undefined) {
      throw ServeError.create(ErrorKind.UnknownClass, `no class "${name}"`);
    }
    const { changeId, baseVersion, timeMs, share } = body;
    const entry = { ...workClass, target: { timeMs, share } };
    return this.put(operator, changeId, baseVersion, {
      kind: "put",
      section: Section.Classes,
      entry,
    });
  }

  addUpstream(
    operator: string,
    { changeId, baseVersion, upstream: entry }: z.output<typeof upstreamBodySchema>,
  ): Promise<ChangeResult> {
    return this.put(operator, changeId, baseVersion, {
      kind: "put",
      section: Section.Upstreams,
      entry,
    });
  }

  /** Marks an upstream as leaving, or deletes its entry. */
  removeUpstream(
    operator: string,
    id: string,
    { changeId, mode }: z.output<typeof removalQuerySchema>,
  ): Promise<ChangeResult> {
    const section = Section.Upstreams;
    const upstream = this.configuration.document.upstreams.find((entry) => entry.id === id);
    // A removal that is sent again finds no entry; the registry knows its change id.
    if (mode === "now") {
      return this.put(operator, changeId, undefined, { kind: "remove", section, key: id });
    }
    if (upstream === undefined) {
      throw ServeError.create(ErrorKind.NoUpstream, `no upstream "${id}"`);
    }
    const entry = { ...upstream, state: UpstreamState.Leaving };
    return this.put(operator, changeId, undefined, { kind: "put", section, entry });
  }

  private put(
    operator: string,
    changeId: string,
    baseVersion: number | undefined,
    update: ConfigurationUpdate,
  ): Promise<ChangeResult> {
    return this.change(operator, {
      changeId,
      baseVersion: baseVersion ?? this.configuration.version,
      updates: [update],
      dryRun: false,
    });
  }

  private checked(baseVersion: number, updates: readonly ConfigurationUpdate[]): ChangeResult {
    const { version, document } = this.configuration;
    if (baseVersion !== version) {
      const detail = `base version ${baseVersion}; version ${version} is in force here`;
      throw ServeError.create(ErrorKind.StaleBaseVersion, detail);
    }
    Configuration.create(version + 1, updatedDocument(document, updates));
    return { accepted: false, dryRun: true, baseVersion };
  }
}
