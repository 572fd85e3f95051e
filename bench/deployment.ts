import { createHash } from "node:crypto";
import { Configuration } from "../src/configuration/configuration.js";
import { documentSchema } from "../src/configuration/configuration-document.js";

/** Size of a deployment. */
export interface Deployment {
  readonly name: string;
  readonly dataCentres: number;
  readonly linkMs: number;
  readonly engines: number;
  readonly bookings: number;
  /** Replicas of encoder, retriever and reranker. */
  readonly plain: readonly [number, number, number];
}

export const deployments: readonly Deployment[] = [
  { name: "Dar Lbsa", dataCentres: 3, linkMs: 5, engines: 8, bookings: 3, plain: [3, 4, 4] },
  { name: "Qarqanna", dataCentres: 4, linkMs: 4, engines: 8, bookings: 4, plain: [4, 4, 4] },
];

/** Service time in ms and slots of each service. */
export const services = {
  encoder: { kind: "encode", ms: 30, slots: 4 },
  retriever: { kind: "retrieve", ms: 45, slots: 4 },
  reranker: { kind: "rerank", ms: 40, slots: 4 },
  advice: { kind: "generate", ms: 0, slots: 8 },
  booking: { kind: "call", ms: 60, slots: 2 },
} as const;

export type ServiceName = keyof typeof services;

export const teams = ["agdal", "bouznika", "chellah", "dayet", "erfoud"] as const;

/** Configuration of a deployment, as an operator would write it. */
export function configurationOf(deployment: Deployment): Configuration {
  const centres = Array.from({ length: deployment.dataCentres }, (_, at) => `dc-${at}`);
  const [encoder, retriever, reranker] = deployment.plain;
  const counts: Record<ServiceName, number> = {
    encoder,
    retriever,
    reranker,
    advice: deployment.engines,
    booking: deployment.bookings,
  };
  const document = documentSchema.parse({
    dataCentres: centres.map((name) => ({ name, region: "home" })),
    links: centres.flatMap((from, at) =>
      centres.slice(at + 1).map((to) => ({ from, to, delayMs: deployment.linkMs })),
    ),
    classes: [
      { name: "urgent", rank: "urgent", target: { timeMs: 1_500, share: 0.99 } },
      { name: "standard", rank: "standard", target: { timeMs: 3_000, share: 0.9 } },
      { name: "background", rank: "background", target: { timeMs: 8_000, share: 0.5 } },
    ],
    teams: teams.map((name) => ({
      name,
      credentialDigests: [createHash("sha256").update(name).digest("hex")],
    })),
    models: [{ name: "advice", bytes: 1 }],
    services: Object.entries(services).map(([name, { kind }]) => ({
      name,
      kind,
      idempotent: name !== "booking",
      ...(name === "advice" ? { model: "advice" } : {}),
    })),
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
    upstreams: Object.entries(counts).flatMap(([service, count]) =>
      Array.from({ length: count }, (_, at) => ({
        id: `${service}-${at}`,
        service,
        address: `http://127.0.0.1:${9_000 + at}`,
        dataCentre: centres[at % centres.length] ?? "dc-0",
        slots: services[service as ServiceName].slots,
      })),
    ),
  });
  return Configuration.create(1, document);
}
