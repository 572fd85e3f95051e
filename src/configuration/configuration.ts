import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { issueText } from "../settings/issue-text.js";
import type { ConfigurationChange } from "./configuration-change.js";
import {
  type ConfigurationDocument,
  type Pipeline,
  type Service,
  type Upstream,
  type WorkClass,
  documentSchema,
  emptyDocument,
} from "./configuration-document.js";
import { checkReferences } from "./check-references.js";
import { updatedDocument } from "./document-difference.js";
import { Rank } from "./rank.js";

const LOCAL_LINK = { delayMs: 0, cost: 0 };
const UNKNOWN_LINK = { delayMs: 20, cost: 2 };

/** One immutable version of the configuration. */
export class Configuration {
  private readonly pipelines: ReadonlyMap<string, Pipeline>;
  private readonly classes: ReadonlyMap<string, WorkClass>;
  private readonly services: ReadonlyMap<string, Service>;
  private readonly upstreams: ReadonlyMap<string, readonly Upstream[]>;
  private readonly links: ReadonlyMap<string, { delayMs: number; cost: number }>;
  private readonly teams: ReadonlyMap<string, string>;

  private constructor(
    readonly version: number,
    readonly document: ConfigurationDocument,
  ) {
    this.pipelines = byName(document.pipelines);
    this.classes = byName(document.classes);
    this.services = byName(document.services);
    this.upstreams = byService(document.upstreams);
    this.links = new Map(
      document.links.flatMap((link) => [
        [`${link.from}>${link.to}`, link],
        [`${link.to}>${link.from}`, link],
      ]),
    );
    this.teams = new Map(
      document.teams.flatMap((team) => team.credentialDigests.map((digest) => [digest, team.name])),
    );
  }

  /** Checks a document; throws `InvalidConfiguration` with the path of each wrong field. */
  static create(version: number, document: unknown): Configuration {
    const result = documentSchema.safeParse(document);
    if (!result.success) {
      throw ServeError.create(ErrorKind.InvalidConfiguration, issueText(result.error));
    }
    checkReferences(result.data);
    return new Configuration(version, result.data);
  }

  /** Version 0, on which the first change is made. */
  static empty(): Configuration {
    return new Configuration(0, emptyDocument);
  }

  /** The next version; throws `InvalidConfiguration` if the change does not fit this one. */
  changedBy(change: ConfigurationChange): Configuration {
    if (change.version !== this.version + 1) {
      const detail = `change ${change.version} does not follow version ${this.version}`;
      throw ServeError.create(ErrorKind.InvalidConfiguration, detail);
    }
    return Configuration.create(change.version, updatedDocument(this.document, change.updates));
  }

  pipeline(name: string): Pipeline | undefined {
    return this.pipelines.get(name);
  }

  workClass(name: string): WorkClass | undefined {
    return this.classes.get(name);
  }

  service(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** Upstreams of a service, leaving ones included. */
  upstreamsOf(service: string): readonly Upstream[] {
    return this.upstreams.get(service) ?? [];
  }

  /** The team that owns a credential, given the credential's SHA-256 digest in hex. */
  teamOf(credentialDigest: string): string | undefined {
    return this.teams.get(credentialDigest);
  }

  /** Delay in ms and cost of the link between two data centres. */
  link(from: string, to: string): { readonly delayMs: number; readonly cost: number } {
    if (from === to) return LOCAL_LINK;
    return this.links.get(`${from}>${to}`) ?? UNKNOWN_LINK;
  }

  /** Share of work that a rank keeps in a flood of more important work. */
  floor(rank: Rank): number {
    switch (rank) {
      case Rank.Urgent:
        return 0;
      case Rank.Standard:
        return this.document.floors.standard;
      case Rank.Background:
        return this.document.floors.background;
    }
  }
}

function byName<Named extends { readonly name: string }>(
  items: readonly Named[],
): Map<string, Named> {
  return new Map(items.map((item) => [item.name, item]));
}

function byService(upstreams: readonly Upstream[]): Map<string, Upstream[]> {
  const groups = new Map<string, Upstream[]>();
  for (const upstream of upstreams) {
    const group = groups.get(upstream.service);
    if (group === undefined) groups.set(upstream.service, [upstream]);
    else group.push(upstream);
  }
  return groups;
}
