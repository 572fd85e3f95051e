import { z } from "zod";

/** Schema of the pieces of one stage of a request, as submitted to an owner. */
export const stageSubmissionSchema = z.object({
  service: z.string(),
  attemptId: z.string(),
  stage: z.number().int().nonnegative(),
  /** Incremented when the stages of a request run again. */
  run: z.number().int().nonnegative(),
  pieces: z.number().int().positive(),
  key: z.string().optional(),
  inputs: z.array(z.string()).optional(),
  /** 0 is the most urgent. */
  rank: z.number(),
  /** Time until the target and until the deadline of the request, in ms. */
  targetLeftMs: z.number(),
  leftMs: z.number(),
  /** Minimum time that the request needs after this stage, in ms. */
  afterMs: z.number(),
  /** Pieces at the other stages; empty except in the first submission of a request. */
  later: z.array(
    z.object({
      service: z.string(),
      pieces: z.number(),
      resultBytes: z.number().optional(),
      /** Wait there of the last submission of the submitter; absent if it knows none. */
      wait: z.object({ ms: z.number(), ageMs: z.number() }).optional(),
    }),
  ),
  /** Longest wait over all stages with which the request still meets its target, in ms. */
  allowedMs: z.number(),
  /** Whether no stage of the request has been submitted before; absent from older instances. */
  first: z.boolean().optional(),
  /** Whether the caller was refused before and has probably kept its retry delay. */
  returning: z.boolean().optional(),
  /** Approximate size of one result in bytes. */
  resultBytes: z.number(),
  /** Bytes transferred between data centres for each piece that runs in another one. */
  movedBytes: z.number(),
  /** Data centre that uses the results or has most of the inputs. */
  dataCentre: z.string().optional(),
});

/** The pieces of one stage of one request. */
export type StageSubmission = z.output<typeof stageSubmissionSchema>;

/** Identifies a submission; a repeated one has the same identity. */
export type SubmissionIdentity = Pick<StageSubmission, "attemptId" | "stage" | "run">;

/** The identity of a submission as a string key. */
export function submissionKey({ attemptId, stage, run }: SubmissionIdentity): string {
  return `${attemptId}/${stage}/${run}`;
}
