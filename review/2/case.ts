import type { ServerResponse } from "node:http";
import { Replica } from "../lib/replica.js";
import { type Answer, send } from "../lib/requester.js";
import { runCase } from "../lib/run-case.js";

const TIMEOUT_MS = 1_500;
const SLACK_MS = 500;
/** Time for which requesters wait. */
const DEADLINE_MS = 2_500;
const INTERVAL_MS = 100;
const LENGTH_MS = 25_000;
/** Tokens of one write; each is a chunk of its own. */
const TOKENS = 4_000;
const TOKEN = "tok ";
const TOKEN_CHUNK = `${TOKEN.length.toString(16)}\r\n${TOKEN}\r\n`;
const WORK_MS = 20;

// The disruption is that an engine sends bytes that are no event without end.
await runCase(import.meta.url, async (site, record, trouble) => {
  const engine = await Replica.create("e1", "engine", "a", (request, response) => {
    const id = String(request.headers["nutmegstage-attempt-id"]);
    record.add(`e1 ran ${id}`);
    response.writeHead(200, { "content-type": "text/event-stream" });
    if (!trouble) {
      response.end("id: 1\ndata: x\n\n");
      return;
    }
    response.flushHeaders();
    sendWithoutEnd(response, (bytes) => {
      record.add(`e1 was closed after ${bytes} bytes of ${id}`);
    });
  });
  const desk = await Replica.create("d1", "desk", "a", async (request, response) => {
    record.add(`d1 ran ${String(request.headers["nutmegstage-attempt-id"])}`);
    await new Promise((resolve) => setTimeout(resolve, WORK_MS));
    response.end("answer");
  });
  site.register("e1", engine.entry());
  site.register("d1", desk.entry());
  site.configure([
    {
      name: "chat",
      kind: "streaming",
      service: "engine",
      timeoutMs: 20_000,
      targetMs: 2_000,
      maxAttempts: 1,
    },
    {
      name: "charge",
      kind: "non_idempotent",
      service: "desk",
      timeoutMs: TIMEOUT_MS,
      targetMs: 243,
      maxAttempts: 1,
    },
  ]);
  await site.startDaemons(["a", "a"]);
  const [daemon] = site.daemons;
  if (daemon === undefined) throw new Error("no daemon");
  await new Promise((resolve) => setTimeout(resolve, 3_500));

  const stream = send({ ip: daemon.ip, path: "/chat/1", body: "hello", deadlineMs: 20_000 });
  const answers: Promise<Answer>[] = [];
  const end = Date.now() + LENGTH_MS;
  while (Date.now() < end) {
    const signal = AbortSignal.timeout(DEADLINE_MS);
    const path = "/charge/1";
    answers.push(send({ ip: daemon.ip, path, body: "5", deadlineMs: DEADLINE_MS, signal }));
    await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
  }
  const { status, ms } = await stream;
  record.add(`stream: status ${status} after ${ms} ms`);
  const got = await Promise.all(answers);
  for (const answer of got)
    record.add(`charge ${answer.id}: status ${answer.status} after ${answer.ms} ms`);
  // A requester that left at its time limit had no answer until then.
  const late = got.filter((each) => each.ms > TIMEOUT_MS);
  const unanswered = late.filter((each) => each.ms > TIMEOUT_MS + SLACK_MS);
  return {
    held: unanswered.length <= late.length / 2,
    seen: `${late.length} of ${got.length} requests were unanswered at their time-out, ${unanswered.length} of them also ${SLACK_MS} ms later`,
  };
});

/** Sends tokens without the end of an event until the other side closes. */
function sendWithoutEnd(response: ServerResponse, onClosed: (bytes: number) => void): void {
  const { socket } = response;
  const bytes = Buffer.from(TOKEN_CHUNK.repeat(TOKENS));
  let sent = 0;
  const next = (): void => {
    if (socket === null || socket.destroyed) return;
    sent += bytes.length;
    socket.write(bytes, () => {
      setImmediate(next);
    });
  };
  socket?.once("close", () => {
    onClosed(sent);
  });
  next();
}
