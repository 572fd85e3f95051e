import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";

const OK = 200;
const FORBIDDEN_HISTORY = 410;
const PRECONDITION_FAILED = 412;
const UNAVAILABLE = 503;
const POLL_MS = 20;

interface StoredRow {
  readonly table: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
  readonly tombstone: boolean;
}

/** The state of the store at one moment. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly version: number;
}

interface Transaction {
  readonly "expect-rev"?: readonly StoredRow[];
  readonly writes: readonly StoredRow[];
  readonly remove?: readonly StoredRow[];
}

/** How the store treats calls. */
export enum StoreMode {
  Serving = "serving",
  /** Answers 503 without having done anything. */
  Busy = "busy",
  /** Accepts calls and never answers them. */
  Silent = "silent",
}

/** A small stand-in of the platform's store, kept in memory. */
export class PlatformStore {
  mode = StoreMode.Serving;
  /** Calls that read rows or wait for changes. */
  reads = 0;
  /** Transactions of daemons. */
  writes = 0;
  private rows = new Map<string, StoredRow>();
  private version = 0;
  /** Increases each time when the store comes back from a copy. */
  private era = 1;
  /** Changes up to this version are forgotten. */
  private forgotten = 0;

  private readonly views: Server[] = [];

  private constructor(private readonly server: Server) {}

  static async create(port: number): Promise<PlatformStore> {
    const server = createServer((request, response) => {
      void store.answer(request, response);
    });
    const store = new PlatformStore(server);
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
    return store;
  }

  /** Serves the same rows at another port, with other addresses in the entries of upstreams. */
  async listenWith(port: number, addresses: ReadonlyMap<string, string>): Promise<void> {
    const server = createServer((request, response) => {
      void this.answer(request, response, addresses);
    });
    this.views.push(server);
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
  }

  /** Writes a row; a content of undefined removes it. */
  put(table: string, key: string, content: unknown): void {
    this.putText(table, key, JSON.stringify(content ?? null), content === undefined);
  }

  /** Writes a row of any text. */
  putText(table: string, key: string, text: string, tombstone = false): void {
    this.version += 1;
    const value = Buffer.from(text).toString("base64");
    this.rows.set(`${table}/${key}`, { table, key, value, ver: this.version, tombstone });
  }

  /** Keys of the rows that a table has. */
  keys(table: string): string[] {
    return this.since(table, 0).flatMap(({ key, tombstone }) => (tombstone ? [] : [key]));
  }

  copy(): StoreCopy {
    return { rows: new Map(this.rows), version: this.version };
  }

  /** Comes back from a copy; what was written since then is lost, and versions are given out again. */
  restore({ rows, version }: StoreCopy): void {
    this.rows = new Map(rows);
    this.version = version;
    this.era += 1;
  }

  /** The content of a row; undefined if there is none. */
  find(table: string, key: string): unknown {
    const row = this.rows.get(`${table}/${key}`);
    if (row === undefined || row.tombstone) return undefined;
    return JSON.parse(Buffer.from(row.value, "base64").toString());
  }

  forgetHistory(): void {
    this.forgotten = this.version;
  }

  async stop(): Promise<void> {
    for (const server of [this.server, ...this.views]) {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    }
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
    addresses: ReadonlyMap<string, string> = new Map(),
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (this.mode === StoreMode.Silent) return;
    response.setHeader("store-era", String(this.era));
    if (this.mode === StoreMode.Busy) {
      response.writeHead(UNAVAILABLE).end();
      return;
    }
    const table = url.searchParams.get("table") ?? "";
    switch (url.pathname) {
      case "/nutmegstage/rows-get":
        this.reads += 1;
        this.send(response, withAddresses(this.range(table, url.searchParams), addresses));
        return;
      case "/nutmegstage/rows-feed":
        this.reads += 1;
        await this.feed(url, table, response, addresses);
        return;
      case "/nutmegstage/rows-tx":
        this.commit(JSON.parse(Buffer.concat(chunks).toString()) as Transaction, response);
        return;
      default:
        response.writeHead(404).end();
    }
  }

  private async feed(
    url: URL,
    table: string,
    response: ServerResponse,
    addresses: ReadonlyMap<string, string>,
  ): Promise<void> {
    const after = Number(url.searchParams.get("after"));
    if (after < this.forgotten || after > this.version) {
      response.writeHead(FORBIDDEN_HISTORY).end();
      return;
    }
    const end = Date.now() + Number(url.searchParams.get("wait-ms"));
    const { era } = this;
    while (this.since(table, after).length === 0 && Date.now() < end) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      if (this.era === era) continue;
      response.destroy();
      return;
    }
    this.send(response, withAddresses(this.since(table, after), addresses));
  }

  private commit(transaction: Transaction, response: ServerResponse): void {
    const { writes, remove = [] } = transaction;
    const isMet = ({ table, key, ver }: StoredRow): boolean => {
      const row = this.rows.get(`${table}/${key}`);
      return (row === undefined || row.tombstone ? 0 : row.ver) === ver;
    };
    if (!(transaction["expect-rev"] ?? []).every(isMet)) {
      response.writeHead(PRECONDITION_FAILED).end();
      return;
    }
    this.version += 1;
    for (const { table, key, value } of writes) {
      const row = { table, key, value, ver: this.version, tombstone: false };
      this.rows.set(`${table}/${key}`, row);
    }
    for (const { table, key } of remove) this.put(table, key, undefined);
    this.writes += 1;
    this.send(response, []);
  }

  private range(table: string, query: URLSearchParams): StoredRow[] {
    const from = query.get("from") ?? "";
    const to = query.get("to");
    return this.since(table, 0).filter(
      ({ key, tombstone }) => !tombstone && key >= from && (to === null || key < to),
    );
  }

  private since(table: string, version: number): StoredRow[] {
    return [...this.rows.values()].filter((row) => row.table === table && row.ver > version);
  }

  private send(response: ServerResponse, rows: readonly StoredRow[]): void {
    const body = { rows, "has-more": false, ver: this.version, "now-ms": Date.now() };
    response.writeHead(OK, { "content-type": "application/json" }).end(JSON.stringify(body));
  }
}

/** Replaces the addresses that entries of upstreams state. */
function withAddresses(
  rows: readonly StoredRow[],
  addresses: ReadonlyMap<string, string>,
): readonly StoredRow[] {
  if (addresses.size === 0) return rows;
  return rows.map((row) => {
    const text = Buffer.from(row.value, "base64").toString();
    const own = [...addresses].reduce(
      (each, [from, to]) => each.replace(`"${from}"`, `"${to}"`),
      text,
    );
    return { ...row, value: Buffer.from(own).toString("base64") };
  });
}
