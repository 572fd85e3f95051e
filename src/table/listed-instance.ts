import { z } from "zod";

/** Schema of one entry of the platform's instance list. */
export const listedInstanceSchema = z.object({
  id: z.string(),
  peerAddress: z.url(),
  dataCentre: z.string(),
  state: z.enum(["live", "leaving"]),
  /** Processor cores that the instance may use; 0 if the list does not say. */
  cores: z.number().nonnegative().default(0),
});

/** An instance as the platform lists it; the list lags. */
export type ListedInstance = z.output<typeof listedInstanceSchema>;
