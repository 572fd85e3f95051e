import { readFile } from "node:fs/promises";
import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { issueText } from "./issue-text.js";

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;
const MS_PER_SECOND = 1_000;

const address = z
  .string()
  .regex(ADDRESS, { error: "must be an IPv4 address and a port" })
  .transform((text) => {
    const [host, port] = text.split(":");
    return { host: host ?? "", port: Number(port) };
  });
const seconds = z
  .number()
  .positive()
  .transform((value) => value * MS_PER_SECOND);
const milliseconds = z.number().positive();

const count = z.number().int().positive();
const processLimits = z.object({
  memoryBytes: count
    .optional()
    .describe("Memory that the process may take, in bytes; without it, that of the machine."),
  maxDescriptors: count
    .optional()
    .describe("Descriptors that the process may open; without it, the limit of the process."),
  requestsAhead: count
    .default(16)
    .describe("Requests that may wait on a connection; with more of them, it is closed."),
});

/** Schema of the settings of a daemon on the platform; the platform fills in its template. */
export const frontSettingsSchema = z.object({
  instance: z
    .object({
      id: z.string().min(1).max(63).describe("Id of the instance: its IP address."),
      dataCentre: z.string().min(1).describe("Data centre of the instance."),
      processor: z
        .object({
          share: z.number().positive().describe("Part of a core that the instance may use."),
          speed: z.number().positive().describe("Speed of that core; 1 is the usual one."),
        })
        .default({ share: 1, speed: 1 })
        .describe("Processor time of the instance."),
    })
    .transform(({ processor: { share, speed }, ...rest }) => ({ ...rest, cores: share * speed })),
  callers: address.describe("Address for callers."),
  readiness: address.describe("Address that the balancer asks for readiness."),
  peers: address.describe("Address for other instances."),
  peerSecret: z.string().min(16).describe("Secret that all instances share."),
  metrics: address.describe("Address that serves metrics."),
  store: address.describe("Address of the platform's store."),
  seeds: z
    .string()
    .transform((text) => text.split(",").filter((each) => ADDRESS.test(each)))
    .describe("Peer addresses of some instances, separated by commas."),
  bounds: z.object({
    drainMs: milliseconds.describe("Time within which a leaving upstream gets no new work."),
    graceSeconds: seconds.describe("Time from SIGTERM to SIGKILL, in s."),
    budgetRatio: z.number().nonnegative().describe("Further attempts per request."),
    budgetWindowSeconds: seconds.describe("Window of the budget, in s."),
    budgetSlack: z.number().nonnegative().describe("Further attempts beside the ratio."),
  }),
  limits: processLimits.prefault({}),
  logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
});

/** Settings of a daemon on the platform; times are in ms. */
export type FrontSettings = z.output<typeof frontSettingsSchema>;

/** Reads and checks the settings; throws `InvalidSettings` that names each wrong field. */
export async function loadFrontSettings(path: string): Promise<FrontSettings> {
  let content: unknown;
  try {
    content = JSON.parse(await readFile(path, "utf8"));
  } catch (error) {
    throw ServeError.create(ErrorKind.InvalidSettings, `cannot read ${path}: ${String(error)}`);
  }
  const result = frontSettingsSchema.safeParse(content);
  if (!result.success) {
    throw ServeError.create(ErrorKind.InvalidSettings, issueText(result.error));
  }
  return result.data;
}
