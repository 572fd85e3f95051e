import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Row } from "../platform/row.js";
import type { RowKey } from "../platform/row-key.js";
import type { Table } from "../platform/table.js";
import { Configuration } from "./configuration.js";
import { type ConfigurationChange, changeSchema } from "./configuration-change.js";
import type { ConfigurationDocument } from "./configuration-document.js";

const PARTITION = "configuration";
const VERSION_DIGITS = 10;
const CHANGES_PER_READ = 100;

const headSchema = z.object({ version: z.number().int().positive(), snapshot: z.number().int() });

/** The newest accepted version and the newest snapshot. */
export type Head = z.output<typeof headSchema>;

/** The accepted configuration versions in the table service. */
export class ConfigurationHistory {
  private constructor(private readonly table: Table) {}

  static create(parts: { table: Table }): ConfigurationHistory {
    return new ConfigurationHistory(parts.table);
  }

  /** The newest accepted version; undefined before the first. */
  async head(): Promise<Head | undefined> {
    const row = await this.table.get(headKey);
    return row === undefined ? undefined : headSchema.parse(JSON.parse(row.value));
  }

  /** Accepted changes above `version`, in order. */
  async changesAfter(version: number): Promise<ConfigurationChange[]> {
    const rows = await this.table.query(PARTITION, changeKey(version).sort, CHANGES_PER_READ);
    return rows.filter(isChange).map((row) => changeSchema.parse(JSON.parse(row.value)));
  }

  /** The newest accepted configuration; undefined before the first. */
  async newest(): Promise<Configuration | undefined> {
    const head = await this.head();
    if (head === undefined) return undefined;
    const row = await this.table.get(snapshotKey(head.snapshot));
    if (row === undefined) {
      throw ServeError.create(ErrorKind.Internal, `snapshot ${head.snapshot} is missing`);
    }
    let configuration = Configuration.create(head.snapshot, JSON.parse(row.value));
    while (configuration.version < head.version) {
      const changes = await this.changesAfter(configuration.version);
      if (changes.length === 0) {
        throw ServeError.create(
          ErrorKind.Internal,
          `change ${configuration.version + 1} is missing`,
        );
      }
      configuration = changes.reduce((current, change) => current.changedBy(change), configuration);
    }
    return configuration;
  }

  /** Stores version 1; throws `StaleBaseVersion` if there is a configuration already. */
  async initialise(document: ConfigurationDocument, changeId: string): Promise<void> {
    const head: Head = { version: 1, snapshot: 1 };
    const put = (key: RowKey, value: unknown) =>
      ({
        kind: "put",
        key,
        version: 1,
        value: JSON.stringify(value),
        expect: { kind: "absent" },
      }) as const;
    const result = await this.table.transact(
      [put(headKey, head), put(snapshotKey(1), document)],
      changeId,
    );
    if (result.kind === "rejected") {
      throw ServeError.create(ErrorKind.StaleBaseVersion, "a configuration exists already");
    }
  }
}

const headKey: RowKey = { partition: PARTITION, sort: "head" };

function changeKey(version: number): RowKey {
  return { partition: PARTITION, sort: `change#${padded(version)}` };
}

function snapshotKey(version: number): RowKey {
  return { partition: PARTITION, sort: `snapshot#${padded(version)}` };
}

function padded(version: number): string {
  return String(version).padStart(VERSION_DIGITS, "0");
}

function isChange(row: Row): boolean {
  return row.key.sort.startsWith("change#");
}
