import type { CaseRecord } from "./record.js";
import { Replica } from "./replica.js";
import { type Answer, send } from "./requester.js";
import type { Site } from "./site.js";

export const SERVICE = "desk";
export const ROUTE = {
  name: "book",
  kind: "non_idempotent",
  service: SERVICE,
  timeoutMs: 2_500,
  targetMs: 243,
  maxAttempts: 1,
} as const;

/** Sound requests go to another service, so that they do not decide which replica is chosen. */
export const SOUND_ROUTE = { ...ROUTE, name: "look", service: "calendar" } as const;

/** Time after which a crashed replica is back. */
const BACK_MS = 2_000;
const WORK_MS = 40;
const CONTACT_MS = 3_000;
const POISON_PATH = "/book/poison";
const POISON_BODY = "the request that crashes its replica";
/** Retries that may still reach replicas, by the rule. */
const ALLOWED_RETRIES = 3;

/** Replicas of one service, which a certain request crashes, and what it did to them. */
export class PoisonedService {
  /** Times of the crashes in ms. */
  readonly crashes: number[] = [];
  private starts = 0;
  private stopped = false;

  private constructor(
    private readonly site: Site,
    private readonly record: CaseRecord,
    private readonly keepsIds: boolean,
  ) {}

  /** `keepsIds` tells whether replicas start again under the id that they had. */
  static async create(
    site: Site,
    record: CaseRecord,
    zones: readonly string[],
    keepsIds: boolean,
  ): Promise<PoisonedService> {
    const service = new PoisonedService(site, record, keepsIds);
    for (const zone of zones) await service.add(zone);
    const calendar = await Replica.create("c-1", SOUND_ROUTE.service, "a", async (_, response) => {
      await new Promise((resolve) => setTimeout(resolve, WORK_MS));
      response.end("answer");
    });
    site.register(calendar.id, calendar.entry());
    return service;
  }

  stop(): void {
    this.stopped = true;
  }

  /** Sends a sound request to each daemon. */
  async sendSound(): Promise<void> {
    for (const { ip } of this.site.daemons) {
      const answer = await send({ ip, path: "/look/1", body: "sound", deadlineMs: 2_500 });
      this.record.add(`sound ${answer.id} at ${ip}: status ${answer.status}`);
    }
  }

  /** Sends the request once more; the same path, caller and body. */
  async sendPoison(ip: string): Promise<Answer> {
    const before = this.crashes.length;
    const answer = await send({ ip, path: POISON_PATH, body: POISON_BODY, deadlineMs: 2_500 });
    const reached = this.crashes.length > before ? "crashed a replica" : "reached no replica";
    this.record.add(`poison ${answer.id} at ${ip}: status ${answer.status}, ${reached}`);
    return answer;
  }

  /** Requests that reached a replica later than `contact-ms` after the third crash. */
  get lateRetries(): number {
    const [, , third = Infinity] = this.crashes;
    return this.crashes.filter((atMs) => atMs > third + CONTACT_MS).length;
  }

  get verdict(): { held: boolean; seen: string } {
    const seen = `${this.crashes.length} crashes, ${this.lateRetries} of them by retries later than ${CONTACT_MS} ms after the third`;
    return { held: this.lateRetries <= ALLOWED_RETRIES, seen };
  }

  private nextId(): string {
    this.starts += 1;
    return `i-${String(this.starts).padStart(4, "0")}`;
  }

  private async add(zone: string): Promise<void> {
    const replica: Replica = await Replica.create(
      this.nextId(),
      SERVICE,
      zone,
      async (request, response, body) => {
        const id = String(request.headers["nutmegstage-attempt-id"]);
        if (body.toString() === POISON_BODY) {
          this.record.add(`${replica.id} begins to run ${id} and crashes`);
          this.crashes.push(Date.now());
          replica.crash();
          setTimeout(() => void this.restart(replica), BACK_MS);
          return;
        }
        await new Promise((resolve) => setTimeout(resolve, WORK_MS));
        response.end(`answer to ${id}`);
      },
    );
    this.site.register(replica.id, replica.entry());
  }

  private async restart(replica: Replica): Promise<void> {
    if (this.stopped) return;
    const earlier = replica.id;
    if (!this.keepsIds) {
      this.site.unregister(earlier);
      replica.id = this.nextId();
    }
    await replica.start();
    this.site.register(replica.id, replica.entry());
    this.record.add(`${earlier} is back as ${replica.id}`);
  }
}
