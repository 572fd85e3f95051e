import { sampleCredentials } from "../../standin/sample-configuration.js";
import type { CrowdTarget } from "./crowd.js";

const PLATFORM_BODY_BYTES = 900_000;
const OWN_BODY_BYTES = 1_000_000;

/** Requests of the platform's callers; `keys` is "no", "one" or "many". */
export function platformTarget(port: number, keys: string, teams: number): CrowdTarget {
  return {
    port,
    bodyBytes: PLATFORM_BODY_BYTES,
    head: (member, request, streams) => {
      const team = keys === "many" ? member % teams : 0;
      const key = keys === "no" ? "" : `x-api-key: key-${team}\r\n`;
      const path = streams ? "/stream/patient/1" : "/plain/1";
      return `POST ${path} HTTP/1.1\r\nhost: a.example\r\nnutmegstage-attempt-id: m${member}-${request}\r\n${key}`;
    },
    body: (bytes) => "x".repeat(bytes),
  };
}

/** Requests of the product's own callers; `keys` is "no", "one" or "many". */
export function ownTarget(port: number, keys: string): CrowdTarget {
  const { seamstresses } = sampleCredentials;
  const authorization = keys === "no" ? "" : `authorization: Bearer ${seamstresses}\r\n`;
  return {
    port,
    bodyBytes: OWN_BODY_BYTES,
    head: (member, request) =>
      `POST /v1/pipelines/advice/requests HTTP/1.1\r\nhost: x\r\n${authorization}content-type: application/json\r\nidempotency-key: m${member}-${request}\r\n`,
    body: (bytes) =>
      JSON.stringify({ class: "chat", deadlineMs: 5_000, input: { text: "x".repeat(bytes - 64) } }),
  };
}
