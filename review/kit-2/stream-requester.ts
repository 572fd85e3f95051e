import { request } from "node:http";

/** A request for a stream, or to take one up again. */
export interface StreamAsked {
  readonly host: string;
  readonly port: number;
  readonly path: string;
  readonly attempt: string;
  readonly key: string;
  readonly deadlineMs: number;
  /** What the request is about; requests about one thing share a part of their prompts. */
  readonly subject?: string;
  /** Number of pieces of the only stage; undefined if the route has none. */
  readonly pieces?: number;
  /** The attempt that brought the first event of the stream that this request takes up. */
  readonly resumes?: string;
  readonly lastEventId?: string;
}

/** What a requester got of a stream. */
export interface StreamAnswer {
  readonly sentMs: number;
  readonly endedMs: number;
  readonly firstEventMs: number | undefined;
  /** 0 if the channel ended without a status. */
  readonly status: number;
  /** Whether the answer ended as complete. */
  readonly whole: boolean;
  /** Data of its events by id, in the order of arrival. */
  readonly events: readonly (readonly [id: string, data: string])[];
  readonly body: string;
}

const EVENT = /id: (\d+)\ndata: (.*)\n\n/g;

/** Sends a request for a stream and resolves with its end; never rejects. */
export function askStream(asked: StreamAsked): Promise<StreamAnswer> {
  const sentMs = Date.now();
  return new Promise((resolve) => {
    let body = "";
    let status = 0;
    let firstEventMs: number | undefined;
    const end = (whole: boolean): void => {
      const events = [...body.matchAll(EVENT)].map(([, id = "", data = ""]) => [id, data] as const);
      resolve({ sentMs, endedMs: Date.now(), firstEventMs, status, whole, events, body });
    };
    const { resumes, lastEventId, pieces } = asked;
    const call = request(
      {
        host: asked.host,
        port: asked.port,
        path: asked.path,
        method: "POST",
        agent: false,
        headers: {
          host: "a.example",
          "x-api-key": asked.key,
          "nutmegstage-attempt-id": asked.attempt,
          "nutmegstage-deadline-ms": String(asked.deadlineMs),
          "nutmegstage-model": "m",
          "nutmegstage-token-counts": "200,80",
          "nutmegstage-prompt-prefix": `${hexOf(asked.subject ?? "")}:100,${hexOf(resumes ?? asked.attempt)}:100`,
          ...(pieces === undefined
            ? {}
            : { "nutmegstage-pieces": String(pieces), "nutmegstage-piece-key": "7c1e07a291bd" }),
          ...(resumes === undefined ? {} : { resumes }),
          ...(lastEventId === undefined ? {} : { "last-event-id": lastEventId }),
        },
      },
      (response) => {
        status = response.statusCode ?? 0;
        response.setEncoding("utf8");
        response.on("data", (text: string) => {
          body += text;
          if (status === 200) firstEventMs ??= Date.now();
        });
        response.on("error", () => undefined);
        response.on("close", () => {
          end(response.complete);
        });
      },
    );
    const timer = setTimeout(() => call.destroy(), asked.deadlineMs);
    call.on("close", () => {
      clearTimeout(timer);
    });
    call.on("error", () => {
      if (status === 0) end(false);
    });
    call.end(`prompt of ${resumes ?? asked.attempt}`);
  });
}

function hexOf(text: string): string {
  return Buffer.from(text).toString("hex").slice(-16);
}

/** Lines of the record for a request for a stream and its answer. */
export function streamLines(
  attempt: string,
  ip: string,
  { sentMs, endedMs, status, whole, events }: StreamAnswer,
): (readonly [number, string])[] {
  return [
    [sentMs, `sent ${attempt} to ${ip}`],
    [endedMs, `answered ${attempt} ${status} ${whole ? "whole" : "cut"}, ${events.length} events`],
  ];
}
