import { z } from "zod";
import { Rank } from "./rank.js";
import { Section } from "./section.js";
import { ServiceKind } from "./service-kind.js";
import { UpstreamState } from "./upstream-state.js";

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, {
  error: "must be lower-case letters, digits, dots and hyphens, at most 63",
});
const share = z.number().min(0).max(1);

const dataCentre = z.strictObject({ name, region: name });

const link = z.strictObject({
  from: name,
  to: name,
  /** One-way delay in ms. */
  delayMs: z.number().nonnegative(),
  /** Relative cost of a request that crosses the link. */
  cost: z.number().nonnegative().default(1),
});

const target = z.strictObject({
  /** Time from arrival to the whole answer, in ms. */
  timeMs: z.number().int().positive(),
  /** Share of requests to be answered within that time. */
  share,
});

const workClass = z.strictObject({ name, rank: z.enum(Rank), target });

const team = z.strictObject({
  name,
  /** SHA-256 digests in hex of the team's credentials. */
  credentialDigests: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, { error: "must be a SHA-256 digest in hex" }))
    .min(1),
});

const model = z.strictObject({ name, bytes: z.number().int().positive() });

const service = z.strictObject({
  name,
  kind: z.enum(ServiceKind),
  /** False if a call must not be sent twice. */
  idempotent: z.boolean().default(true),
  /** Model that engines of the service run. */
  model: name.optional(),
});

const stage = z.strictObject({ name, service: name });

const pipeline = z.strictObject({ name, stages: z.array(stage).min(1).max(16) });

const upstream = z.strictObject({
  id: name,
  service: name,
  address: z.url({ protocol: /^http$/, error: "must be an http URL" }),
  dataCentre: name,
  state: z.enum(UpstreamState).default(UpstreamState.Active),
  /** Requests that the upstream runs at once without queueing. */
  slots: z.number().int().positive().default(8),
  /** Whether the engine refuses orders with an old fencing number. */
  checksFencing: z.boolean().default(false),
  /** Whether the engine checks who gives an order. */
  checksIssuer: z.boolean().default(false),
});

/** Schemas of the entries of each section. */
export const entrySchemas = {
  [Section.DataCentres]: dataCentre,
  [Section.Links]: link,
  [Section.Classes]: workClass,
  [Section.Teams]: team,
  [Section.Models]: model,
  [Section.Services]: service,
  [Section.Pipelines]: pipeline,
  [Section.Upstreams]: upstream,
} as const;

/** Schema of a whole configuration document. */
export const documentSchema = z.strictObject({
  dataCentres: z.array(dataCentre).min(1),
  links: z.array(link).default([]),
  classes: z.array(workClass).min(1),
  teams: z.array(team),
  models: z.array(model).default([]),
  services: z.array(service),
  pipelines: z.array(pipeline),
  upstreams: z.array(upstream),
  /** Shares of work that lower ranks keep in a flood of more important work. */
  floors: z
    .strictObject({ standard: share.default(0.05), background: share.default(0.05) })
    .prefault({}),
});

/** A configuration as operators write it. */
export type ConfigurationDocument = z.output<typeof documentSchema>;

/** The document before the first accepted version; it serves nothing. */
export const emptyDocument: ConfigurationDocument = {
  dataCentres: [],
  links: [],
  classes: [],
  teams: [],
  models: [],
  services: [],
  pipelines: [],
  upstreams: [],
  floors: { standard: 0, background: 0 },
};

export type DataCentre = z.output<typeof dataCentre>;
export type Link = z.output<typeof link>;
export type Target = z.output<typeof target>;
export type WorkClass = z.output<typeof workClass>;
export type Team = z.output<typeof team>;
export type Model = z.output<typeof model>;
export type Service = z.output<typeof service>;
export type Stage = z.output<typeof stage>;
export type Pipeline = z.output<typeof pipeline>;
export type Upstream = z.output<typeof upstream>;
