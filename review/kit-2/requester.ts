import { type Agent, request } from "node:http";

/** A request as a requester sends it. */
export interface Asked {
  readonly host: string;
  readonly port: number;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly attempt: string;
  readonly key: string;
  readonly deadlineMs: number;
  readonly body?: string;
  /** Keeps channels for further requests. */
  readonly agent?: Agent;
}

/** What became of a request. */
export interface Answer {
  readonly sentMs: number;
  readonly endedMs: number;
  /** 0 if the channel ended without a status. */
  readonly status: number;
  readonly whole: boolean;
  readonly body: string;
  readonly stamp: string | undefined;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Sends a request and resolves with the end of its answer; never rejects. */
export function ask(asked: Asked): Promise<Answer> {
  const sentMs = Date.now();
  const none = { sentMs, status: 0, whole: false, body: "", stamp: undefined, headers: {} };
  return new Promise((resolve) => {
    const call = request(
      {
        host: asked.host,
        port: asked.port,
        path: asked.path,
        method: asked.method,
        agent: asked.agent ?? false,
        headers: {
          host: "a.example",
          "x-api-key": asked.key,
          "nutmegstage-attempt-id": asked.attempt,
          "nutmegstage-deadline-ms": String(asked.deadlineMs),
        },
      },
      (response) => {
        const { statusCode: status = 0, headers } = response;
        const chunks: string[] = [];
        response.setEncoding("utf8");
        response.on("data", (text: string) => chunks.push(text));
        response.on("error", () => undefined);
        response.on("close", () => {
          const stamp = headers["nutmegstage-replica-stamp"] as string | undefined;
          const body = chunks.join("");
          const whole = response.complete;
          resolve({ sentMs, endedMs: Date.now(), status, whole, body, stamp, headers });
        });
      },
    );
    const timer = setTimeout(() => call.destroy(), asked.deadlineMs);
    call.on("close", () => {
      clearTimeout(timer);
    });
    call.on("error", () => {
      resolve({ ...none, endedMs: Date.now() });
    });
    call.end(asked.body);
  });
}
