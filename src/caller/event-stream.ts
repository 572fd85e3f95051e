import { ErrorKind } from "../error/error-kind.js";
import { problemOf } from "../error/problem.js";
import { ServeError } from "../error/serve-error.js";
import type { RandomSource } from "../random/random-source.js";
import type { Timers } from "../time/timers.js";
import type { AnswerSource } from "./answer-source.js";
import { eventText } from "./event-text.js";

/** Shorter than the idle timeouts of common proxies, which start at 30 s. */
const KEEP_ALIVE_MS = 10_000;
const KEEP_ALIVE = ": keep-alive\n\n";

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
}

/**
 * The text of an event stream from position `after` on. If the answer can't be read to its end, the
 * stream ends with an error event that has the id of the last event, so that a resume is exact.
 */
export async function* eventStream(
  parts: Parts,
  source: AnswerSource,
  after: number,
  signal: AbortSignal,
): AsyncGenerator<string> {
  const pages = source.follow(after, signal)[Symbol.asyncIterator]();
  let last = after;
  let next = pages.next();
  try {
    for (;;) {
      const page = await withinQuietTime(parts.timers, next);
      if (page === undefined) {
        yield KEEP_ALIVE;
        continue;
      }
      if (page.done === true) return;
      last += page.value.length;
      yield page.value.map(({ id, event }) => eventText(id, event)).join("");
      next = pages.next();
    }
  } catch (error) {
    if (signal.aborted) return;
    const problem = problemOf(ServeError.from(error, ErrorKind.PeerUnavailable), parts.random);
    yield eventText(last, { kind: "error", problem });
  } finally {
    // A reader that leaves during the wait has no use for the outcome.
    next.catch(() => undefined);
  }
}

/** Resolves with undefined if `next` takes longer than the time between keep-alives. */
async function withinQuietTime<Value>(
  timers: Timers,
  next: Promise<Value>,
): Promise<Value | undefined> {
  let quiet: { cancel(): void } | undefined;
  const silence = new Promise<undefined>((resolve) => {
    quiet = timers.after(KEEP_ALIVE_MS, () => {
      resolve(undefined);
    });
  });
  try {
    return await Promise.race([next, silence]);
  } finally {
    quiet?.cancel();
  }
}
