import { type Dispatcher, request } from "undici";
import { ErrorKind } from "../error/error-kind.js";
import type { Timers } from "../time/timers.js";
import { ClientError } from "./client-error.js";
import { ExitCode } from "./exit-code.js";

const REQUEST_TIMEOUT_MS = 10_000;
const SERVER_ERROR = 500;
const CLIENT_ERROR = 400;
/** Times that an uncertain change is sent again, and the wait before each. */
const MOST_RESENDS = 5;
const RESEND_MS = 500;

/** Where the operators' API of an instance is. */
export interface Endpoint {
  readonly server: string;
  readonly credential: string;
}

/** Calls the operators' API of one instance; failures are `ClientError`s. */
export class OperatorClient {
  private constructor(
    private readonly endpoint: Endpoint,
    private readonly timers: Timers,
  ) {}

  static create(endpoint: Endpoint, timers: Timers): OperatorClient {
    return new OperatorClient(endpoint, timers);
  }

  get(path: string): Promise<unknown> {
    return this.send("GET", path);
  }

  /**
   * Sends a change until its outcome is known. The body or path holds the change id, so a resend
   * of an accepted change returns the same acceptance.
   */
  async change(method: Dispatcher.HttpMethod, path: string, body?: unknown): Promise<unknown> {
    for (let resends = 0; ; resends += 1) {
      try {
        return await this.send(method, path, body);
      } catch (error) {
        const uncertain = error instanceof ClientError && error.code === ExitCode.Uncertain;
        if (!uncertain || resends === MOST_RESENDS) throw error;
        await this.timers.sleep(RESEND_MS);
      }
    }
  }

  private async send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const { server, credential } = this.endpoint;
    let answer: { readonly status: number; readonly body: unknown };
    try {
      const response = await request(new URL(path, server), {
        method,
        headers: {
          authorization: `Bearer ${credential}`,
          ...(body === undefined ? {} : { "content-type": "application/json" }),
        },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      answer = { status: response.statusCode, body: await response.body.json() };
    } catch (error) {
      // A change whose answer was lost may have been accepted.
      const code = method === "GET" || isRefusal(error) ? ExitCode.Unavailable : ExitCode.Uncertain;
      throw ClientError.create(code, `no answer from ${server}: ${String(error)}`);
    }
    if (answer.status < CLIENT_ERROR) return answer.body;
    throw errorOf(answer.status, answer.body);
  }
}

/** A refused connection carried no request. */
function isRefusal(error: unknown): boolean {
  return (error as { code?: string }).code === "ECONNREFUSED";
}

function errorOf(status: number, body: unknown): ClientError {
  const { kind, detail } = body as { kind?: string; detail?: string };
  return ClientError.create(codeOf(status, kind), `${kind ?? status}: ${detail ?? ""}`, kind);
}

function codeOf(status: number, kind: string | undefined): ExitCode {
  if (kind === ErrorKind.TableUncertain) return ExitCode.Uncertain;
  if (kind === ErrorKind.StaleBaseVersion) return ExitCode.StaleBaseVersion;
  return status >= SERVER_ERROR ? ExitCode.Unavailable : ExitCode.Refused;
}
