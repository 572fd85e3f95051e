import { type Agent, request } from "node:http";

const HOST = "a.example";
const DEADLINE_MS = 8_000;
const MS_PER_SECOND = 1_000;

/** A request as a caller of the platform sends it. */
export interface PlatformRequest {
  /** Port of the daemon on 127.0.0.1. */
  readonly port: number;
  readonly path: string;
  readonly id: string;
  readonly key: string;
  readonly body?: string;
  /** Time that the caller waits, in ms. */
  readonly deadlineMs?: number;
  /** Pieces of the only stage of a route. */
  readonly pieces?: number;
  readonly pieceKey?: string;
  /** IDs of the parts of the prompt. */
  readonly promptParts?: readonly string[];
  /** Attempt that brought the first event of the stream that this request resumes. */
  readonly resumes?: string;
  /** ID of the last event that the caller got. */
  readonly lastEventId?: string;
  /** Keeps connections for further requests. */
  readonly agent?: Agent;
  /** The caller leaves when it aborts. */
  readonly signal?: AbortSignal;
}

/** What a caller got. */
export interface PlatformAnswer {
  /** 0 if the connection ended without a status. */
  readonly status: number;
  readonly body: string;
  /** Whether the answer ended as complete. */
  readonly whole: boolean;
  /** Id of the request that the answer names. */
  readonly answered: string | undefined;
  /** Signature of the upstream. */
  readonly signature: string | undefined;
  /** Time after which the caller may come back, in ms. */
  readonly retryAfterMs: number | undefined;
}

const NO_ANSWER: PlatformAnswer = {
  status: 0,
  body: "",
  whole: false,
  answered: undefined,
  signature: undefined,
  retryAfterMs: undefined,
};

/** Sends a request and resolves with the end of its answer. Never rejects. */
export function askPlatform(asked: PlatformRequest): Promise<PlatformAnswer> {
  const { port, path, id, key, body = "body", deadlineMs = DEADLINE_MS } = asked;
  return new Promise((resolve) => {
    const call = request(
      {
        port,
        path,
        method: "POST",
        agent: asked.agent ?? false,
        ...(asked.signal === undefined ? {} : { signal: asked.signal }),
        headers: {
          host: HOST,
          "x-api-key": key,
          "nutmegstage-attempt-id": id,
          "nutmegstage-deadline-ms": String(deadlineMs),
          ...(asked.pieces === undefined ? {} : { "nutmegstage-pieces": String(asked.pieces) }),
          ...(asked.pieceKey === undefined ? {} : { "nutmegstage-piece-key": asked.pieceKey }),
          ...promptHeader(asked),
          ...resumeHeaders(asked),
        },
      },
      (response) => {
        const { statusCode: status = 0, headers } = response;
        const chunks: string[] = [];
        response.setEncoding("utf8");
        response.on("data", (text: string) => chunks.push(text));
        response.on("error", () => undefined);
        response.on("close", () => {
          const retryAfter = headers["retry-after"];
          resolve({
            status,
            body: chunks.join(""),
            whole: response.complete,
            answered: headers["nutmegstage-attempt-id"] as string | undefined,
            signature: headers["nutmegstage-replica-stamp"] as string | undefined,
            retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter) * MS_PER_SECOND,
          });
        });
      },
    );
    call.on("error", () => {
      resolve(NO_ANSWER);
    });
    call.end(body);
  });
}

function promptHeader({ promptParts }: PlatformRequest): Record<string, string> {
  if (promptParts === undefined) return {};
  return { "nutmegstage-prompt-prefix": promptParts.map((id) => `${id}:100`).join(",") };
}

function resumeHeaders({ resumes, lastEventId }: PlatformRequest): Record<string, string> {
  return {
    ...(resumes === undefined ? {} : { resumes }),
    ...(lastEventId === undefined ? {} : { "last-event-id": lastEventId }),
  };
}
