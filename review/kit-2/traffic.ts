import { Agent } from "node:http";
import { type Answer, ask } from "./requester.js";
import { type Site, sleep } from "./site.js";

/** A request and its answer. */
export interface Exchange {
  readonly daemon: number;
  readonly attempt: string;
  readonly path: string;
  readonly answer: Answer;
}

/** The requests that some requesters send, each on a kept channel to one daemon. */
export interface Traffic {
  readonly requestersPerDaemon: number;
  readonly pauseMs: number;
  readonly key: string;
  readonly deadlineMs: number;
  readonly path: (daemon: number, requester: number, count: number) => string;
  /** Called just before a request is sent. */
  readonly onSend?: (attempt: string, daemon: number) => void;
}

/** Sends GET requests until the signal aborts; resolves with all exchanges. */
export async function sendTraffic(
  site: Site,
  traffic: Traffic,
  signal: AbortSignal,
): Promise<Exchange[]> {
  const { requestersPerDaemon, pauseMs, key, deadlineMs, path, onSend } = traffic;
  const all = site.daemons.flatMap(({ fields }, daemon) =>
    Array.from({ length: requestersPerDaemon }, async (_, requester) => {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      const exchanges: Exchange[] = [];
      for (let count = 0; !signal.aborted; count += 1) {
        const attempt = `a-${daemon}-${requester}-${count}-${Date.now()}`;
        onSend?.(attempt, daemon);
        const asked = path(daemon, requester, count);
        const target = { host: fields.ip, port: fields.ports.front, path: asked };
        const answer = await ask({
          ...{ ...target, method: "GET", attempt, key, deadlineMs, agent },
        });
        exchanges.push({ daemon, attempt, path: asked, answer });
        await sleep(Math.max(pauseMs, returnAfterMs(answer, deadlineMs)));
      }
      agent.destroy();
      return exchanges;
    }),
  );
  return (await Promise.all(all)).flat();
}

/** Requesters honour `Retry-After`, up to a third of the time that they have left. */
function returnAfterMs({ headers, sentMs, endedMs }: Answer, deadlineMs: number): number {
  const seconds = Number(headers["retry-after"] ?? 0);
  return Math.min(1_000 * seconds, (deadlineMs - (endedMs - sentMs)) / 3);
}

/** Lines of the record for what was sent and answered. */
export function exchangeLines(
  site: Site,
  exchanges: readonly Exchange[],
): (readonly [number, string])[] {
  return exchanges.flatMap(({ daemon, attempt, path, answer }) => {
    const { sentMs, endedMs, status, whole, stamp = "none" } = answer;
    const ip = site.daemons[daemon]?.ip ?? "";
    return [
      [sentMs, `sent ${attempt} GET ${path} to ${ip}`] as const,
      [
        endedMs,
        `answered ${attempt} ${status} ${whole ? "whole" : "cut"}, stamp ${stamp}`,
      ] as const,
    ];
  });
}
