import { ServiceKind } from "../configuration/service-kind.js";
import type { RequestInput } from "./request-input.js";
import {
  type StageResults,
  documentsSchema,
  embeddingsSchema,
  rankingSchema,
} from "./stage-results.js";

const MAX_RETRIEVED_DOCUMENTS = 16;
const MAX_PROMPT_DOCUMENTS = 4;

/** The HTTP call of a stage that does not generate. */
export interface StageCall {
  readonly path: string;
  readonly body: unknown;
  /** Checks the upstream's answer and adds it to the results; throws if it is malformed. */
  readonly results: (answer: unknown) => StageResults;
}

/** Builds the call of a stage from the input and the results of earlier stages. */
export function stageCall(
  kind: Exclude<ServiceKind, ServiceKind.Generate>,
  input: RequestInput,
  earlier: StageResults,
): StageCall {
  switch (kind) {
    case ServiceKind.Encode:
      return {
        path: "/v1/embeddings",
        body: { input: input.text },
        results: (answer) => {
          const [first] = embeddingsSchema.parse(answer).data;
          return { ...earlier, embedding: first?.embedding ?? [] };
        },
      };
    case ServiceKind.Retrieve:
      return {
        path: "/search",
        body: { vector: earlier.embedding ?? [], text: input.text, limit: MAX_RETRIEVED_DOCUMENTS },
        results: (answer) => ({ ...earlier, documents: documentsSchema.parse(answer).documents }),
      };
    case ServiceKind.Rerank: {
      const documents = earlier.documents ?? [];
      return {
        path: "/v1/rerank",
        body: { query: input.text, documents: documents.map((document) => document.text) },
        results: (answer) => ({
          ...earlier,
          documents: rankingSchema
            .parse(answer)
            .results.toSorted((a, b) => b.relevance_score - a.relevance_score)
            .flatMap(({ index }) => documents[index] ?? []),
        }),
      };
    }
    case ServiceKind.Call:
      return {
        path: "/call",
        body: { text: input.text, data: input.data ?? null },
        results: (answer) => ({ ...earlier, answer }),
      };
  }
}

/** The prompt of a generate stage. */
export function promptOf(input: RequestInput, results: StageResults): string {
  const texts = (results.documents ?? [])
    .slice(0, MAX_PROMPT_DOCUMENTS)
    .map((document) => document.text);
  return [...texts, input.text].join("\n\n");
}
