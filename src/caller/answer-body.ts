import { ErrorKind } from "../error/error-kind.js";
import type { Problem } from "../error/problem.js";
import { ServeError } from "../error/serve-error.js";
import type { AnswerSource } from "./answer-source.js";

/** A whole answer, or the problem that ended it. */
export type AnswerBody =
  | {
      readonly kind: "answer";
      readonly body: {
        readonly id: string;
        readonly text: string;
        readonly result: unknown;
        readonly length: number;
        readonly digest: string;
      };
    }
  | { readonly kind: "problem"; readonly problem: Problem };

/** Waits for the end of an answer; rejects when `signal` aborts. */
export async function answerBody(source: AnswerSource, signal: AbortSignal): Promise<AnswerBody> {
  let text = "";
  let result: unknown;
  for await (const page of source.follow(0, signal)) {
    for (const { event } of page) {
      switch (event.kind) {
        case "token":
          text += event.text;
          break;
        case "result":
          result = event.body;
          break;
        case "error":
          return { kind: "problem", problem: event.problem };
        case "end": {
          const { length, digest } = event;
          return { kind: "answer", body: { id: source.request, text, result, length, digest } };
        }
      }
    }
  }
  throw ServeError.create(ErrorKind.Internal, "the answer has no end");
}
