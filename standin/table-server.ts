import { setTimeout as delay } from "node:timers/promises";
import { type FastifyInstance, type FastifyReply, type FastifyRequest, fastify } from "fastify";
import { type TableFaults, noTableFaults } from "./table-faults.js";
import { TableStore, type TransactItem } from "./table-store.js";

const WINDOW_MS = 1_000;

interface Query {
  readonly ExpressionAttributeValues: {
    readonly ":pk": { S: string };
    readonly ":sk": { S: string };
  };
  readonly Limit: number;
}

/** Stand-in for the table service: the part of DynamoDB's JSON protocol that the adapter uses. */
export class TableServer {
  private faults: TableFaults = noTableFaults;
  private readonly store = TableStore.create();
  private windowStart = 0;
  private windowWrites = 0;

  private constructor(readonly server: FastifyInstance) {}

  static create(): TableServer {
    const server = fastify({ bodyLimit: 8_388_608 });
    const table = new TableServer(server);
    server.addContentTypeParser(
      "application/x-amz-json-1.0",
      { parseAs: "string" },
      (_request, body, done) => {
        done(null, JSON.parse(body as string));
      },
    );
    server.post("/", (request, reply) => table.handle(request, reply));
    server.post("/control", (request) => {
      table.faults = { ...table.faults, ...(request.body as Partial<TableFaults>) };
      return table.faults;
    });
    return table;
  }

  private async handle(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { faults } = this;
    if (faults.frozen) return reply.hijack();
    if (faults.down) return reply.status(503).send({ __type: "ServiceUnavailable" });
    const operation = String(request.headers["x-amz-target"]).split(".").at(-1) ?? "";
    switch (operation) {
      case "GetItem":
        await delay(faults.delayMs);
        return reply.send({ Item: this.store.get((request.body as { Key: never }).Key) });
      case "Query": {
        const { ExpressionAttributeValues: values, Limit } = request.body as Query;
        await delay(faults.delayMs);
        return reply.send({ Items: this.store.query(values[":pk"].S, values[":sk"].S, Limit) });
      }
      case "TransactWriteItems":
        return this.transact(request, reply);
      default:
        return reply.status(400).send({ __type: "UnknownOperationException" });
    }
  }

  private async transact(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { TransactItems: items, ClientRequestToken: token } = request.body as {
      TransactItems: TransactItem[];
      ClientRequestToken: string;
    };
    if (!this.withinRate(items.length)) {
      return reply.status(400).send({ __type: "ProvisionedThroughputExceededException" });
    }
    if (this.faults.effectDelayMs > 0) await delay(this.faults.effectDelayMs);
    const codes = this.store.transact(items, token);
    if (this.faults.loseAnswers > 0) {
      this.faults = { ...this.faults, loseAnswers: this.faults.loseAnswers - 1 };
      request.raw.socket.destroy();
      return reply.hijack();
    }
    await delay(this.faults.delayMs);
    if (codes === undefined) return reply.send({});
    return reply.status(400).send({
      __type: "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
      CancellationReasons: codes.map((Code) => ({ Code })),
    });
  }

  private withinRate(writes: number): boolean {
    const now = performance.now();
    if (now - this.windowStart >= WINDOW_MS) {
      this.windowStart = now;
      this.windowWrites = 0;
    }
    this.windowWrites += this.faults.countTransactions ? 1 : writes;
    return this.windowWrites <= this.faults.writesPerSecond;
  }
}
