import { z } from "zod";
import { MemberState } from "../peer/member-state.js";
import type { Timers } from "../time/timers.js";
import { ClientError } from "./client-error.js";
import { ExitCode } from "./exit-code.js";
import type { OperatorClient } from "./operator-client.js";

const POLL_MS = 500;
const MOST_WAIT_MS = 60_000;

const statusSchema = z.object({
  instance: z.string(),
  configurationVersion: z.number(),
  members: z.array(
    z.object({
      id: z.string(),
      state: z.enum(MemberState),
      configurationVersion: z.number().optional(),
    }),
  ),
});

/** Waits until all live instances have a version and reports each step of progress. */
export async function waitForVersion(
  client: OperatorClient,
  timers: Timers,
  version: number,
  report: (line: string) => void,
): Promise<void> {
  const end = timers.now() + MOST_WAIT_MS;
  for (let last = ""; ;) {
    const status = statusSchema.parse(await client.get("/v1/status"));
    const live = status.members.filter(({ state }) => state !== MemberState.Dead);
    const behind = [{ ...status, id: status.instance }, ...live]
      .filter((instance) => (instance.configurationVersion ?? 0) < version)
      .map(({ id }) => id);
    const count = live.length + 1;
    const waiting = behind.length === 0 ? "" : `; waiting for ${behind.join(", ")}`;
    const line = `version ${version} on ${count - behind.length} of ${count} instances${waiting}`;
    if (line !== last) report(line);
    last = line;
    if (behind.length === 0) return;
    if (timers.now() >= end) throw ClientError.create(ExitCode.NotEverywhere, line);
    await timers.sleep(POLL_MS);
  }
}
