import { z } from "zod";

/** Schema of the demand that an instance reports to the others. */
export const demandDigestSchema = z.object({
  /** Estimated work offered in the last seconds by service, in ms of service time per second. */
  services: z.record(z.string(), z.number().nonnegative()),
  /** The same by `<service>|<rank>|<team>`, the largest entries only. */
  teams: z.record(z.string(), z.number().nonnegative()),
});

/** Summary of the work that callers offer to one instance. */
export type DemandDigest = z.output<typeof demandDigestSchema>;
