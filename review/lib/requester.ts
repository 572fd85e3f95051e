import { type Agent, type IncomingMessage, request } from "node:http";
import { randomBytes } from "node:crypto";
import { ports } from "./daemon.js";
import { API_KEY, HOST } from "./site.js";

/** What a requester got. */
export interface Answer {
  readonly id: string;
  /** 0 if the channel ended before an answer began. */
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  /** Whether the answer is whole by the rules of the protocol. */
  readonly complete: boolean;
  readonly ms: number;
}

export interface RequestOptions {
  readonly ip: string;
  readonly path: string;
  readonly method?: string;
  readonly body?: string;
  readonly deadlineMs: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Reads the answer; reads at once if it is left out. */
  readonly read?: (answer: IncomingMessage) => Promise<string>;
  readonly signal?: AbortSignal;
  /** Keeps channels; without it, each request has a channel of its own. */
  readonly agent?: Agent;
}

export function attemptId(): string {
  return randomBytes(8).toString("hex");
}

async function readAll(answer: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of answer) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("latin1");
}

/** Sends one requester attempt on a channel of its own. Never rejects. */
export function send(options: RequestOptions): Promise<Answer> {
  const { ip, path, method = "POST", body = "", deadlineMs, read = readAll, signal } = options;
  const id = attemptId();
  const startedMs = Date.now();
  return new Promise((resolve) => {
    const failed = { id, status: 0, headers: {}, body: "", complete: false };
    const call = request({
      host: ip,
      port: ports.callers,
      path,
      method,
      agent: options.agent ?? false,
      headers: {
        host: HOST,
        "x-api-key": API_KEY,
        "nutmegstage-attempt-id": id,
        "nutmegstage-deadline-ms": String(deadlineMs),
        "content-length": String(Buffer.byteLength(body)),
        ...options.headers,
      },
      ...(signal === undefined ? {} : { signal }),
    });
    call.on("error", () => {
      resolve({ ...failed, ms: Date.now() - startedMs });
    });
    call.on("response", (answer) => {
      const { statusCode: status = 0, headers } = answer;
      const end = (text: string, complete: boolean): void => {
        resolve({ id, status, headers, body: text, complete, ms: Date.now() - startedMs });
      };
      read(answer).then(
        (text) => {
          end(text, answer.complete);
        },
        () => {
          end("", false);
        },
      );
    });
    call.end(body);
  });
}
