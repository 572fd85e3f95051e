import { createHash } from "node:crypto";
import {
  type ConfigurationDocument,
  documentSchema,
} from "../src/configuration/configuration-document.js";

/** An upstream process of a fleet: its service and port. */
export interface SampleUpstream {
  readonly id: string;
  readonly service: string;
  readonly port: number;
}

/** Credentials in clear text that tests and the demo use. */
export const sampleCredentials = {
  seamstresses: "seamstresses-key",
  branches: "branches-key",
} as const;

/** A small configuration with one four-stage pipeline and one non-idempotent pipeline. */
export function sampleConfiguration(upstreams: readonly SampleUpstream[]): ConfigurationDocument {
  return documentSchema.parse({
    dataCentres: [{ name: "fes-a", region: "fes" }],
    classes: [
      { name: "fitting", rank: "urgent", target: { timeMs: 1_000, share: 0.99 } },
      { name: "chat", rank: "standard", target: { timeMs: 3_000, share: 0.9 } },
      { name: "summary", rank: "background", target: { timeMs: 20_000, share: 0.5 } },
    ],
    teams: Object.entries(sampleCredentials).map(([name, credential]) => ({
      name,
      credentialDigests: [createHash("sha256").update(credential).digest("hex")],
    })),
    models: [{ name: "advice", bytes: 1_000_000_000 }],
    services: [
      { name: "encoder", kind: "encode" },
      { name: "retriever", kind: "retrieve" },
      { name: "reranker", kind: "rerank" },
      { name: "advice", kind: "generate", model: "advice" },
      { name: "booking", kind: "call", idempotent: false },
    ],
    pipelines: [
      {
        name: "advice",
        stages: [
          { name: "encode", service: "encoder" },
          { name: "retrieve", service: "retriever" },
          { name: "rerank", service: "reranker" },
          { name: "generate", service: "advice" },
        ],
      },
      { name: "booking", stages: [{ name: "book", service: "booking" }] },
    ],
    upstreams: upstreams.map(({ id, service, port }) => ({
      id,
      service,
      address: `http://127.0.0.1:${port}`,
      dataCentre: "fes-a",
    })),
  });
}
