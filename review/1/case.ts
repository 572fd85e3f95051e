import { Agent, type ServerResponse } from "node:http";
import { StoreMode } from "../../standin/platform-store.js";
import { Replica } from "../lib/replica.js";
import { send } from "../lib/requester.js";
import { runCase } from "../lib/run-case.js";

/** Age of the rows from which a daemon no longer trusts its plan of software versions: 5 s. */
const BEFORE_STREAM_MS = 7_200;
const OUTAGE_MS = 8_000;
const CHUNK = "2\r\n\n\n\r\n";
/** Chunks of one write; 1.4 MB/s. */
const CHUNKS = 2_000;
const WRITE_INTERVAL_MS = 10;
const STREAM_DEADLINE_MS = 12_000;
const CHARGE_DEADLINE_MS = 6_000;
const WORK_MS = 300;
/** Channels that requesters keep. */
const CHANNELS = 16;
const ALLOWED = 3;
/** Time after the outage from which the daemon is in touch. */
const CONTACT_MS = 3_000;

// The disruption is an outage of the store while an engine sends bytes without end.
await runCase(import.meta.url, async (site, record, trouble) => {
  /** When the sound replica got each request. */
  const ran = new Map<string, number>();
  let inTouchMs = trouble ? Infinity : 0;
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
    const id = String(request.headers["nutmegstage-attempt-id"]);
    ran.set(id, Date.now());
    record.add(`d1 ran ${id}`);
    await new Promise((resolve) => setTimeout(resolve, WORK_MS));
    response.end("answer");
  });
  site.register("e1", engine.entry());
  site.register("d1", desk.entry());
  site.configure([
    {
      name: "note",
      kind: "streaming",
      service: "engine",
      timeoutMs: STREAM_DEADLINE_MS,
      targetMs: 4_000,
      maxAttempts: 2,
      resumable: true,
    },
    {
      name: "charge",
      kind: "non_idempotent",
      service: "desk",
      timeoutMs: CHARGE_DEADLINE_MS,
      targetMs: 400,
      maxAttempts: 1,
    },
  ]);
  await site.startDaemons(["a", "a"]);
  const [daemon] = site.daemons;
  if (daemon === undefined) throw new Error("no daemon");
  await new Promise((resolve) => setTimeout(resolve, 8_000));
  if (trouble) {
    record.add("the store is silent");
    site.store.mode = StoreMode.Silent;
    setTimeout(() => {
      site.store.mode = StoreMode.Serving;
      record.add("the store answers again");
      inTouchMs = Date.now() + CONTACT_MS;
    }, OUTAGE_MS);
  }
  await new Promise((resolve) => setTimeout(resolve, BEFORE_STREAM_MS));
  const { ip } = daemon;
  const stream = send({ ip, path: "/note/1", body: "hello", deadlineMs: STREAM_DEADLINE_MS });
  const end = Date.now() + STREAM_DEADLINE_MS;
  const channels = Array.from({ length: CHANNELS }, async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let sent = 1; Date.now() < end; sent += 1) {
      const deadlineMs = CHARGE_DEADLINE_MS;
      const signal = AbortSignal.timeout(deadlineMs);
      const { id, status, ms } = await send({ ip, path: "/charge/1", deadlineMs, signal, agent });
      record.add(`charge ${id}, ${sent}. on its channel: status ${status} after ${ms} ms`);
      if (status !== 0) continue;
      const inTouch = (ran.get(id) ?? -Infinity) >= inTouchMs;
      return sent > 1 && inTouch && ms < deadlineMs ? 1 : 0;
    }
    return 0;
  });
  const { status, ms } = await stream;
  record.add(`stream: status ${status} after ${ms} ms`);
  const closed = (await Promise.all(channels)).filter((each) => each === 1).length;
  // A process that aborts closes its channels before its parent learns of its end.
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  const ends = daemon.ownEnds.join("; ");
  record.add(`${ip} ended by itself: ${ends === "" ? "never" : ends}`);
  return {
    held: closed <= ALLOWED,
    seen: `${closed} of ${CHANNELS} kept channels were closed without the answer to a request that the daemon, in touch, had passed on to a sound replica; the daemon ended by itself: ${ends === "" ? "never" : ends}`,
  };
});

/** Sends empty lines until the other side closes. */
function sendWithoutEnd(response: ServerResponse, onClosed: (bytes: number) => void): void {
  const { socket } = response;
  const bytes = Buffer.from(CHUNK.repeat(CHUNKS));
  let sent = 0;
  const next = (): void => {
    if (socket === null || socket.destroyed) return;
    sent += bytes.length;
    socket.write(bytes);
    setTimeout(next, WRITE_INTERVAL_MS);
  };
  socket?.once("close", () => {
    onClosed(sent);
  });
  next();
}
