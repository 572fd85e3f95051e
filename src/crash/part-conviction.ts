import { z } from "zod";

/** Schema of a conviction as instances send and store it. */
export const partConvictionSchema = z.object({
  service: z.string(),
  /** In ascending order. */
  parts: z.array(z.string()).readonly(),
  /** Upstream processes that crashed. */
  processes: z.array(z.string()).readonly(),
  /** Remaining time in ms. */
  expiresMs: z.number(),
});

/** A set of prompt parts; requests that have all of them crash upstreams of the service. */
export type PartConviction = Readonly<z.output<typeof partConvictionSchema>>;
