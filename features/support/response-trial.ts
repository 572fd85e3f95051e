import { BufferBudget } from "../../src/buffer/buffer-budget.js";
import { RequestDialect } from "../../platform/request-dialect.js";
import type { AttemptOutcome } from "../../src/forward/attempt-outcome.js";
import type { ResponseWriter } from "../../src/forward/response-writer.js";
import { StreamProgress } from "../../src/forward/stream-progress.js";
import { UpstreamAttempt } from "../../src/forward/upstream-attempt.js";
import { SystemTimers } from "../../src/time/system-timers.js";
import { freePorts } from "../../standin/free-ports.js";
import { RawUpstream, type ResponseEnd } from "../../standin/raw-upstream.js";
import { entryOf } from "./forward-samples.js";

const SILENCE_TIMEOUT_MS = 150;
/** Writing a large request can take longer than that on a busy machine. */
const UPLOAD_SILENCE_TIMEOUT_MS = 3_000;
const HEAD = "nutmegstage-attempt-id: a1\r\nnutmegstage-replica-stamp: s\r\n";

/** What tells where the body of a response ends. */
export enum Framing {
  Length = "length",
  Chunks = "chunks",
  /** The end of the connection. */
  None = "none",
}

/** Where a response ends. */
export enum EndPlace {
  BeforeHead = "before the head",
  InHead = "in the head",
  AfterHead = "after the head",
  InBody = "in the body",
  AfterEvent = "after an event",
  End = "at the end",
}

/** A response as an upstream sends it. */
export interface RawResponse {
  readonly status: number;
  readonly framing: Framing;
  /** Whether the head states that the connection will be closed. */
  readonly closes: boolean;
  readonly parts: readonly string[];
  readonly place: EndPlace;
}

/** The bytes that were passed on, and whether they were passed on as a whole response. */
export interface Relayed {
  readonly outcome: AttemptOutcome;
  readonly bytes: string;
  readonly ended: boolean;
  /** Whether the caller has got the head of a response. */
  readonly started: boolean;
}

/** What differs from a request without a body to an upstream that reads it. */
interface RelayOptions {
  /** Whether the caller has got the head of an earlier response. */
  readonly started?: boolean;
  /** Size of the body of the request; the upstream reads only the beginning of it. */
  readonly unreadBytes?: number;
}

/** The chunks of bytes of a response up to the place where it ends. */
export function encode({ status, framing, closes, parts, place }: RawResponse): string[] {
  const length = parts.reduce((sum, part) => sum + part.length, 0);
  const fields = {
    [Framing.Length]: `content-length: ${length}\r\n`,
    [Framing.Chunks]: "transfer-encoding: chunked\r\n",
    [Framing.None]: "",
  };
  const close = closes ? "connection: close\r\n" : "";
  const head = `HTTP/1.1 ${status} Status\r\n${HEAD}${close}${fields[framing]}\r\n`;
  const framed = parts.map((part) =>
    framing === Framing.Chunks ? `${part.length.toString(16)}\r\n${part}\r\n` : part,
  );
  const last = framing === Framing.Chunks ? ["0\r\n\r\n"] : [];
  switch (place) {
    case EndPlace.BeforeHead:
      return [];
    case EndPlace.InHead:
      return [head.slice(0, -6)];
    case EndPlace.AfterHead:
      return [head];
    case EndPlace.InBody:
      return [head, ...framed.slice(0, 1), (framed[1] ?? "").slice(0, 8)];
    case EndPlace.AfterEvent:
      return [head, ...framed.slice(0, 2)];
    case EndPlace.End:
      return [head, ...framed, ...last];
  }
}

/** Relays the response of an upstream that ends it in some way. */
export async function relay(
  chunks: readonly string[],
  end: ResponseEnd,
  streamed: boolean,
  { started = false, unreadBytes = 0 }: RelayOptions = {},
): Promise<Relayed> {
  const [port = 0] = await freePorts(1);
  const upstream = await RawUpstream.create(port, [chunks], end, unreadBytes === 0);
  const timers = SystemTimers.create();
  const passed: Uint8Array[] = [];
  const state = { started, ended: false };
  const writer: Pick<ResponseWriter, "started" | "start" | "write" | "end" | "send"> = {
    get started() {
      return state.started;
    },
    start: () => {
      state.started = true;
    },
    write: (chunk) => {
      passed.push(chunk);
      return undefined;
    },
    end: () => {
      state.ended = true;
    },
    send: (_status, _headers, body) => {
      passed.push(body);
      state.started = true;
      state.ended = true;
    },
  };
  const { signal } = new AbortController();
  const request = { method: "POST", target: "/1", headers: {}, body: Buffer.alloc(unreadBytes) };
  const attempt = UpstreamAttempt.create(
    { timers, dialect: RequestDialect.create(), bufferBudget: BufferBudget.create() },
    {
      request: { ...request, rawHeaders: [], arrivedMs: timers.now(), signal },
      attemptId: "a1",
      entry: entryOf({ id: "u1", address: `127.0.0.1:${port}` }),
      dispatch: {
        ...{ upstream: "u1", remainingMs: 5_000, team: undefined, inputs: undefined },
        ...{ lastEventId: undefined, urgency: undefined },
      },
      writer: writer as ResponseWriter,
      progress: StreamProgress.create(undefined),
      streamed,
      silenceTimeoutMs: unreadBytes === 0 ? SILENCE_TIMEOUT_MS : UPLOAD_SILENCE_TIMEOUT_MS,
      onResponseHead: () => undefined,
      trySend: () => true,
      onResponseStart: () => undefined,
      onAnswer: () => undefined,
      beginStream: () => undefined,
      onEvents: () => undefined,
      signal,
    },
  );
  const outcome = await attempt.run();
  await upstream.stop();
  return { outcome, bytes: Buffer.concat(passed).toString(), ...state };
}
