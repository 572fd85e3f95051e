import { z } from "zod";

/** Schema of a suspicion as instances store it. */
export const contentSuspicionSchema = z.object({
  digest: z.string(),
  service: z.string(),
  /** Upstream processes that crashed. */
  processes: z.array(z.string()).readonly(),
  /** Remaining time in ms. */
  expiresMs: z.number(),
});

/** A content that ran at upstream processes when they crashed. */
export type ContentSuspicion = Readonly<z.output<typeof contentSuspicionSchema>>;
