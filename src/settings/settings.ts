import { z } from "zod";

const identifier = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, {
  error: "must be lower-case letters, digits, dots and hyphens, at most 63",
});
const milliseconds = z.number().int().positive();
const digest = z.string().regex(/^[0-9a-f]{64}$/, { error: "must be a SHA-256 digest in hex" });
const httpUrl = z.url({ protocol: /^https?$/, error: "must be an http or https URL" });

const listener = z.strictObject({
  /** IP address to listen on. */
  host: z.union([z.ipv4(), z.ipv6()], { error: "must be an IP address" }),
  port: z.number().int().min(1).max(65_535),
});

const operatorCredential = z.strictObject({ name: identifier, digest });

const table = z.strictObject({
  endpoint: httpUrl,
  name: z.string().min(3).max(255).default("nutmegstage"),
  region: z.string().min(1).default("local"),
  accessKeyId: z.string().min(1),
  secretAccessKey: z.string().min(1),
  requestTimeoutMs: milliseconds.default(1_000),
});

const limits = z.strictObject({
  bodyBytes: z.number().int().min(1_024).default(1_048_576),
  headerBytes: z.number().int().min(1_024).default(16_384),
  headersTimeoutMs: milliseconds.default(5_000),
  requestTimeoutMs: milliseconds.default(10_000),
  requestsPerConnection: z.number().int().positive().default(64),
  /** Requests that one connection may have in progress. */
  concurrentRequestsPerConnection: z.number().int().positive().default(8),
  /** Open connections of callers; further ones are closed at once. */
  connections: z.number().int().positive().default(4_096),
  maxDeadlineMs: milliseconds.default(60_000),
  answerBytes: z.number().int().positive().default(67_108_864),
});

const bounds = z.strictObject({
  /** Time within which an accepted configuration is in force everywhere. */
  configurationMs: milliseconds.default(5_000),
  /** Time for which finished answers can be read again. */
  answerRetentionMs: milliseconds.default(600_000),
  /** Time for which the balancer may still send requests after the instance is unready. */
  balancerLagMs: z.number().int().nonnegative().default(2_000),
  /** Longest time that a graceful stop waits for requests in progress. */
  graceMs: milliseconds.default(65_000),
  heartbeatMs: milliseconds.default(1_000),
  suspicionMs: milliseconds.default(3_000),
  deathMs: milliseconds.default(10_000),
  leaseMs: milliseconds.default(10_000),
  longestOrderMs: milliseconds.default(30_000),
});

const log = z.strictObject({
  format: z.enum(["json", "pretty"]).default("json"),
  level: z.enum(["error", "warn", "info", "debug"]).default("info"),
  decisions: z.boolean().default(true),
});

/** Schema of the settings file of one daemon. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({ id: identifier, dataCentre: identifier }),
  callers: listener,
  peers: listener.extend({
    secret: z.string().min(16),
    /** Fleet size from which heartbeats go to ring successors instead of all members. */
    meshMembers: z.number().int().min(2).max(64).default(16),
    /** Members that each instance sends heartbeats to in a large fleet. */
    successors: z.number().int().min(1).max(8).default(3),
  }),
  operators: listener.extend({ credentials: z.array(operatorCredential).min(1) }),
  table,
  instanceList: z.strictObject({ endpoint: httpUrl, intervalMs: milliseconds.default(2_000) }),
  weightStore: z
    .strictObject({ endpoint: httpUrl, bytesPerSecond: z.number().positive() })
    .optional(),
  /** Who gives orders to engines that check it. */
  orders: z.strictObject({ id: identifier, credential: z.string().min(1) }).optional(),
  metrics: z
    .strictObject({
      host: z.string(),
      port: z.number().int(),
      prefix: z.string().default("nutmegstage."),
    })
    .optional(),
  limits: limits.prefault({}),
  bounds: bounds.prefault({}),
  log: log.prefault({}),
});

/** Settings of one daemon; times are in ms, sizes in bytes. */
export type Settings = z.output<typeof settingsSchema>;
