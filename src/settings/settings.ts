import { z } from "zod";

const identifier = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, {
  error: "must be lower-case letters, digits, dots and hyphens, at most 63",
});
const milliseconds = z.number().int().positive();
const digest = z.string().regex(/^[0-9a-f]{64}$/, { error: "must be a SHA-256 digest in hex" });
const httpUrl = z.url({ protocol: /^https?$/, error: "must be an http or https URL" });

const listener = z.strictObject({
  host: z
    .union([z.ipv4(), z.ipv6()], { error: "must be an IP address" })
    .describe("IP address to listen on."),
  port: z.number().int().min(1).max(65_535).describe("TCP port to listen on."),
});

const operatorCredential = z.strictObject({
  name: identifier.describe("Operator whose changes are recorded under this name."),
  digest: digest.describe("SHA-256 digest in hex of the operator's credential."),
});

const table = z.strictObject({
  endpoint: httpUrl.describe("URL of the table service."),
  name: z.string().min(3).max(255).default("nutmegstage").describe("Name of the table."),
  region: z.string().min(1).default("local").describe("Region that requests are signed for."),
  accessKeyId: z.string().min(1).describe("Id of the key that signs requests."),
  secretAccessKey: z.string().min(1).describe("Secret of the key that signs requests."),
  requestTimeoutMs: milliseconds
    .default(1_000)
    .describe("Time after which a request to the table has failed, in ms."),
});

const limits = z.strictObject({
  bodyBytes: z
    .number()
    .int()
    .min(1_024)
    .default(1_048_576)
    .describe("Largest request body in bytes."),
  headerBytes: z
    .number()
    .int()
    .min(1_024)
    .default(16_384)
    .describe("Largest size of all headers in bytes."),
  headersTimeoutMs: milliseconds
    .default(5_000)
    .describe("Time within which the headers must arrive, in ms."),
  requestTimeoutMs: milliseconds
    .default(10_000)
    .describe("Time within which the whole request must arrive, in ms."),
  requestsPerConnection: z
    .number()
    .int()
    .positive()
    .default(64)
    .describe("Requests after which a connection is closed."),
  concurrentRequestsPerConnection: z
    .number()
    .int()
    .positive()
    .default(8)
    .describe("Requests that one connection may have in progress."),
  connections: z
    .number()
    .int()
    .positive()
    .default(4_096)
    .describe("Open connections of callers; further ones are closed at once."),
  maxDeadlineMs: milliseconds
    .default(60_000)
    .describe("Longest deadline that a caller may ask for, in ms."),
  answerBytes: z
    .number()
    .int()
    .positive()
    .default(67_108_864)
    .describe("Memory for finished answers in bytes; the oldest are dropped first."),
});

const bounds = z.strictObject({
  configurationMs: milliseconds
    .default(5_000)
    .describe("Time within which an accepted configuration is in force everywhere, in ms."),
  answerRetentionMs: milliseconds
    .default(600_000)
    .describe("Time for which finished answers can be read again, in ms."),
  balancerLagMs: z
    .number()
    .int()
    .nonnegative()
    .default(2_000)
    .describe(
      "Time for which the balancer may still send requests after the instance is unready, in ms.",
    ),
  graceMs: milliseconds
    .default(65_000)
    .describe("Longest time that a graceful stop waits for requests in progress, in ms."),
  heartbeatMs: milliseconds
    .default(1_000)
    .describe("Time between heartbeats to another instance, in ms."),
  suspicionMs: milliseconds
    .default(3_000)
    .describe("Silence after which an instance is suspected, in ms."),
  deathMs: milliseconds
    .default(10_000)
    .describe("Silence after which an instance is taken as dead, in ms."),
  leaseMs: milliseconds
    .default(10_000)
    .describe("Duration of a lease for orders to engines, in ms."),
  longestOrderMs: milliseconds
    .default(30_000)
    .describe("Longest time that an order to an engine may be in flight, in ms."),
});

const log = z.strictObject({
  format: z.enum(["json", "pretty"]).default("json").describe("Form of log lines."),
  level: z
    .enum(["error", "warn", "info", "debug"])
    .default("info")
    .describe("Least important level that is logged."),
  decisions: z
    .boolean()
    .default(true)
    .describe("Whether routing, admission and placement decisions are logged."),
});

/** Schema of the settings file of one daemon. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    id: identifier.describe("Id of the instance, unique in the fleet."),
    dataCentre: identifier.describe("Data centre of the instance, as named in the configuration."),
    cores: z
      .number()
      .positive()
      .default(1)
      .describe("Processor cores that the instance may use, also a part of one."),
  }),
  callers: listener,
  peers: listener.extend({
    secret: z.string().min(16).describe("Secret that all instances share; sent as a bearer token."),
    meshMembers: z
      .number()
      .int()
      .min(2)
      .max(64)
      .default(16)
      .describe("Fleet size from which heartbeats go to ring successors instead of all members."),
    successors: z
      .number()
      .int()
      .min(1)
      .max(8)
      .default(3)
      .describe("Members that each instance sends heartbeats to in a large fleet."),
  }),
  operators: listener.extend({
    credentials: z.array(operatorCredential).min(1).describe("Credentials of operators."),
  }),
  table,
  instanceList: z.strictObject({
    endpoint: httpUrl.describe("URL of the platform's instance list."),
    intervalMs: milliseconds.default(2_000).describe("Time between reads of the list, in ms."),
  }),
  weightStore: z
    .strictObject({
      endpoint: httpUrl.describe("URL of the weight store."),
      bytesPerSecond: z
        .number()
        .positive()
        .describe("Rate at which it may be read, in bytes per second."),
    })
    .optional(),
  /** Who gives orders to engines that check it. */
  orders: z.strictObject({ id: identifier, credential: z.string().min(1) }).optional(),
  metrics: z
    .strictObject({
      host: z.string().describe("Host that takes StatsD datagrams."),
      port: z.number().int().describe("UDP port that takes StatsD datagrams."),
      prefix: z.string().default("nutmegstage.").describe("Put before the name of each metric."),
    })
    .optional(),
  limits: limits.prefault({}),
  bounds: bounds.prefault({}),
  log: log.prefault({}),
});

/** Settings of one daemon; times are in ms, sizes in bytes. */
export type Settings = z.output<typeof settingsSchema>;
