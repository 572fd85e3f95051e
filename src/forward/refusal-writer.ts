import { answerTable } from "../error/answer-table.js";
import { Outcome } from "../error/outcome.js";
import { problemOf } from "../error/problem.js";
import type { ServeError } from "../error/serve-error.js";
import type { RandomSource } from "../random/random-source.js";
import type { ResponseWriter } from "./response-writer.js";

const UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const MIN_SERVER_ERROR_STATUS = 500;
/** Statuses that tell callers that the request has not run and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, UNAVAILABLE]);
const MS_PER_SECOND = 1_000;
/** Spreads the retries of callers refused together over an additional half of the delay. */
const RETRY_JITTER = 0.5;
const RETRY_AFTER_DECIMALS = 2;

/** Writes the response to a request that failed or was refused. */
export class RefusalWriter {
  private constructor(private readonly random: RandomSource) {}

  static create(parts: { random: RandomSource }): RefusalWriter {
    return new RefusalWriter(parts.random);
  }

  /** Returns the status of the response. */
  write(writer: Pick<ResponseWriter, "send">, error: ServeError): number {
    const status = statusOf(error);
    const problem = problemOf(error, this.random);
    const headers = ["content-type", "application/problem+json"];
    if (error.retryAfterMs !== undefined && NOT_RUN_STATUSES.has(status)) {
      const afterMs = error.retryAfterMs * (1 + RETRY_JITTER * this.random.fraction());
      headers.push("retry-after", (afterMs / MS_PER_SECOND).toFixed(RETRY_AFTER_DECIMALS));
    }
    writer.send(status, headers, Buffer.from(JSON.stringify({ ...problem, status })));
    return status;
  }
}

/** The table's status, replaced where it contradicts whether the request may have run. */
function statusOf({ kind, outcome }: ServeError): number {
  const { status } = answerTable[kind];
  if (outcome === Outcome.NotRun && status >= MIN_SERVER_ERROR_STATUS) return UNAVAILABLE;
  if (outcome !== Outcome.NotRun && NOT_RUN_STATUSES.has(status)) return BAD_GATEWAY;
  return status;
}
