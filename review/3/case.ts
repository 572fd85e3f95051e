import { Replica } from "../lib/replica.js";
import { send } from "../lib/requester.js";
import { runCase } from "../lib/run-case.js";

const DRAIN_MS = 2_000;
/** Time for which a leaving replica serves beyond that. */
const LONGER_MS = 1_000;
const WORK_MS = 900;
const REQUESTS_PER_SECOND = "2";
const INTERVAL_MS = 60;
const BEFORE_LEAVING_MS = 12_000;
const AFTER_LEAVING_MS = 10_000;

// The disruption is that a replica leaves, as at a release; it states a limit all the while.
await runCase(import.meta.url, async (site, record, trouble) => {
  let confirmedMs = Infinity;
  const late = new Set<string>();
  let lost = 0;
  const replicas = await Promise.all(
    ["r1", "r2", "r3", "r4"].map(async (id) => {
      const replica: Replica = await Replica.create(id, "desk", "a", async (request, response) => {
        const attempt = String(request.headers["nutmegstage-attempt-id"]);
        const sinceMs = Date.now() - confirmedMs;
        const leaving = id === "r1" && sinceMs >= 0;
        if (leaving && sinceMs > DRAIN_MS) late.add(attempt);
        record.add(
          leaving
            ? `${id} runs ${attempt}, ${sinceMs} ms after its leaving was confirmed`
            : `${id} runs ${attempt}`,
        );
        response.setHeader("server-limit", REQUESTS_PER_SECOND);
        if (leaving) response.setHeader("server-leaving", "1");
        await new Promise((resolve) => setTimeout(resolve, WORK_MS));
        response.end("answer");
      });
      site.register(id, replica.entry());
      return replica;
    }),
  );
  site.configure([
    {
      name: "charge",
      kind: "non_idempotent",
      service: "desk",
      timeoutMs: 6_000,
      targetMs: 4_000,
      maxAttempts: 1,
    },
  ]);
  await site.startDaemons(["a", "a"]);
  await new Promise((resolve) => setTimeout(resolve, 3_500));
  const answers: Promise<void>[] = [];
  const start = Date.now();
  while (Date.now() - start < BEFORE_LEAVING_MS + AFTER_LEAVING_MS) {
    const leaveNow = trouble && confirmedMs === Infinity && Date.now() - start > BEFORE_LEAVING_MS;
    const [leaving] = replicas;
    if (leaveNow && leaving !== undefined) {
      site.register(leaving.id, leaving.entry("draining"));
      confirmedMs = Date.now();
      record.add(`the store has accepted that ${leaving.id} is draining`);
      setTimeout(() => {
        leaving.crash();
        site.unregister(leaving.id);
        record.add(`${leaving.id} has left`);
      }, DRAIN_MS + LONGER_MS);
    }
    const ip = site.daemons[answers.length % site.daemons.length]?.ip ?? "";
    answers.push(
      send({ ip, path: "/charge/1", deadlineMs: 6_000 }).then(({ id, status, ms }) => {
        record.add(`charge ${id}: status ${status} after ${ms} ms`);
        if (late.has(id) && status !== 200) lost += 1;
      }),
    );
    await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
  }
  await Promise.all(answers);
  return {
    held: late.size === 0,
    seen: `${late.size} requests reached r1 later than ${DRAIN_MS} ms after the store had accepted that it is draining; ${lost} of them lost their answers as it left`,
  };
});
