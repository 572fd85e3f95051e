import { request } from "node:http";

const DEADLINE_MS = "8000";

/** What a caller got. */
export interface FrontAnswer {
  /** 0 if the connection was cut before a status. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the answer ended as complete. */
  readonly whole: boolean;
}

let sequence = 0;

/** Sends a request and waits for the end of its answer; leaves after `leaveMs` if that is given. */
export function askFront(
  port: number,
  path: string,
  headers: Record<string, string>,
  leaveMs?: number,
): Promise<FrontAnswer> {
  sequence += 1;
  return new Promise((resolve) => {
    const cut = { status: 0, headers: {}, body: "", whole: false };
    const call = request(
      {
        port,
        path,
        method: "POST",
        agent: false,
        headers: {
          host: "a.example",
          "nutmegstage-attempt-id": `request-${sequence}`,
          "nutmegstage-deadline-ms": DEADLINE_MS,
          ...headers,
        },
      },
      (response) => {
        const { statusCode = 0 } = response;
        let body = "";
        response.setEncoding("utf8");
        response.on("data", (text: string) => (body += text));
        response.on("error", () => undefined);
        response.on("close", () => {
          resolve({
            status: statusCode,
            headers: response.headers,
            body,
            whole: response.complete,
          });
        });
      },
    );
    call.on("error", () => {
      resolve(cut);
    });
    if (leaveMs !== undefined) setTimeout(() => call.destroy(), leaveMs);
    call.end("body");
  });
}
