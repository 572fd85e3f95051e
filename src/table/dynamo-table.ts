import { type Dispatcher, Pool } from "undici";
import aws4 from "aws4";
import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Settings } from "../settings/settings.js";
import type { Expectation } from "./expectation.js";
import type { Row } from "./row.js";
import type { RowKey } from "./row-key.js";
import type { Table } from "./table.js";
import type { TableWrite } from "./table-write.js";
import type { TransactionResult } from "./transaction-result.js";

const TARGET_PREFIX = "DynamoDB_20120810.";
const CONNECTIONS = 8;

const text = z.object({ S: z.string() });
const item = z.object({ pk: text, sk: text, version: z.object({ N: z.string() }), value: text });
const getAnswer = z.object({ Item: item.optional() });
const queryAnswer = z.object({ Items: z.array(item) });
const failure = z.object({
  __type: z.string(),
  CancellationReasons: z.array(z.object({ Code: z.string().optional() })).optional(),
});

type Failure = z.output<typeof failure>;
type Reply =
  { readonly ok: true; readonly body: unknown } | { readonly ok: false; readonly failure: Failure };

/** The table service over DynamoDB's JSON protocol. */
export class DynamoTable implements Table {
  private constructor(
    private readonly settings: Settings["table"],
    private readonly pool: Dispatcher,
  ) {}

  static create(settings: Settings["table"]): DynamoTable {
    const pool = new Pool(settings.endpoint, { connections: CONNECTIONS, pipelining: 1 });
    return new DynamoTable(settings, pool);
  }

  async get(key: RowKey): Promise<Row | undefined> {
    const body = { TableName: this.settings.name, Key: attributesOf(key), ConsistentRead: true };
    const found = getAnswer.parse(await this.read("GetItem", body)).Item;
    return found === undefined ? undefined : rowOf(found);
  }

  async query(partition: string, after: string, limit: number): Promise<Row[]> {
    const answer = await this.read("Query", {
      TableName: this.settings.name,
      KeyConditionExpression: "pk = :pk AND sk > :sk",
      ExpressionAttributeValues: { ":pk": { S: partition }, ":sk": { S: after } },
      Limit: limit,
      ConsistentRead: true,
    });
    return queryAnswer.parse(answer).Items.map(rowOf);
  }

  async transact(writes: readonly TableWrite[], token: string): Promise<TransactionResult> {
    const TransactItems = writes.map((write) => this.transactItem(write));
    const reply = await this.send(
      "TransactWriteItems",
      { TransactItems, ClientRequestToken: token },
      ErrorKind.TableUncertain,
    );
    if (reply.ok) return { kind: "committed" };
    const { __type: type, CancellationReasons: reasons } = reply.failure;
    if (!type.endsWith("TransactionCanceledException") || reasons === undefined) {
      throw ServeError.create(ErrorKind.TableUnavailable, type);
    }
    const failed = reasons.flatMap(({ Code }, at) =>
      Code === "ConditionalCheckFailed" ? [at] : [],
    );
    if (failed.length === 0) throw ServeError.create(ErrorKind.TableUnavailable, type);
    return { kind: "rejected", failed };
  }

  private async read(operation: string, body: unknown): Promise<unknown> {
    const reply = await this.send(operation, body, ErrorKind.TableUnavailable);
    if (reply.ok) return reply.body;
    throw ServeError.create(ErrorKind.TableUnavailable, reply.failure.__type);
  }

  /** `lost` is the kind of error for a request that may have been applied without an answer. */
  private async send(operation: string, body: unknown, lost: ErrorKind): Promise<Reply> {
    try {
      const response = await this.pool.request({
        path: "/",
        method: "POST",
        ...this.signed(operation, JSON.stringify(body)),
        signal: AbortSignal.timeout(this.settings.requestTimeoutMs),
      });
      const content: unknown = await response.body.json();
      if (response.statusCode === 200) return { ok: true, body: content };
      // A 5xx answer does not say whether the transaction was applied.
      if (response.statusCode >= 500)
        throw ServeError.create(lost, `status ${response.statusCode}`);
      return { ok: false, failure: failure.parse(content) };
    } catch (error) {
      throw ServeError.from(error, isConnectFailure(error) ? ErrorKind.TableUnavailable : lost);
    }
  }

  private signed(
    operation: string,
    body: string,
  ): { headers: Record<string, string>; body: string } {
    const { accessKeyId, secretAccessKey, region, endpoint } = this.settings;
    const { headers } = aws4.sign(
      {
        service: "dynamodb",
        region,
        host: new URL(endpoint).host,
        method: "POST",
        path: "/",
        body,
        headers: {
          "Content-Type": "application/x-amz-json-1.0",
          "X-Amz-Target": `${TARGET_PREFIX}${operation}`,
        },
      },
      { accessKeyId, secretAccessKey },
    );
    return { headers: headers as Record<string, string>, body };
  }

  private transactItem(write: TableWrite): unknown {
    const TableName = this.settings.name;
    const condition = conditionOf(write.expect);
    switch (write.kind) {
      case "put": {
        const { key, version, value } = write;
        const Item = { ...attributesOf(key), version: { N: String(version) }, value: { S: value } };
        return { Put: { TableName, Item, ...condition } };
      }
      case "check":
        return { ConditionCheck: { TableName, Key: attributesOf(write.key), ...condition } };
      case "delete":
        return { Delete: { TableName, Key: attributesOf(write.key), ...condition } };
    }
  }
}

function isConnectFailure(error: unknown): boolean {
  const code = error instanceof Error && "code" in error ? error.code : undefined;
  return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
}

function conditionOf(expect: Expectation): Record<string, unknown> {
  switch (expect.kind) {
    case "any":
      return {};
    case "absent":
      return { ConditionExpression: "attribute_not_exists(pk)" };
    case "version":
      return {
        ConditionExpression: "#version = :version",
        ExpressionAttributeNames: { "#version": "version" },
        ExpressionAttributeValues: { ":version": { N: String(expect.version) } },
      };
  }
}

function attributesOf(key: RowKey): { pk: { S: string }; sk: { S: string } } {
  return { pk: { S: key.partition }, sk: { S: key.sort } };
}

function rowOf(found: z.output<typeof item>): Row {
  return {
    key: { partition: found.pk.S, sort: found.sk.S },
    version: Number(found.version.N),
    value: found.value.S,
  };
}
