import { z } from "zod";

/** Schema of the pieces of one stage of one request, as sent to the instance that fills calls. */
export const stageSubmissionSchema = z.object({
  service: z.string(),
  attemptId: z.string(),
  stage: z.number().int().nonnegative(),
  /** Rises when the stages of a request run again. */
  run: z.number().int().nonnegative(),
  pieces: z.number().int().positive(),
  key: z.string().optional(),
  inputs: z.array(z.string()).optional(),
  /** 0 is the most urgent. */
  rank: z.number(),
  /** Time until the target and until the deadline of the request, in ms. */
  targetLeftMs: z.number(),
  leftMs: z.number(),
  /** Time that the request needs after this stage, in ms. */
  afterMs: z.number(),
  /** Pieces that follow at other stages; only the first submission of a request tells them. */
  later: z.array(z.object({ service: z.string(), pieces: z.number() })),
  /** Longest wait over all stages with which the request still meets its target, in ms. */
  allowedMs: z.number(),
  /** Approximate size of one result in bytes. */
  resultBytes: z.number(),
  /** Bytes that a piece moves between data centres if it is made in another one. */
  movedBytes: z.number(),
  /** Data centre in which the results are used, or most of the inputs lie. */
  dataCentre: z.string().optional(),
});

/** The pieces of one stage of one request. */
export type StageSubmission = z.output<typeof stageSubmissionSchema>;

/** What identifies a submission; a repeated one has the same identity. */
export type SubmissionIdentity = Pick<StageSubmission, "attemptId" | "stage" | "run">;

/** The identity of a submission as one text. */
export function submissionKey({ attemptId, stage, run }: SubmissionIdentity): string {
  return `${attemptId}/${stage}/${run}`;
}
