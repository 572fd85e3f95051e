import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { RowKey } from "../table/row-key.js";
import type { Table } from "../table/table.js";
import { Configuration } from "./configuration.js";
import { type ConfigurationChange, changeSchema } from "./configuration-change.js";
import type { ConfigurationDocument } from "./configuration-document.js";
import {
  CONFIGURATION_PARTITION,
  type ChangeIdRecord,
  type Head,
  changeIdKey,
  changeIdSchema,
  changeKey,
  headKey,
  headSchema,
  jsonOf,
  snapshotKey,
  valueOf,
} from "./configuration-rows.js";

const CHANGES_PER_READ = 100;

/** The accepted configuration versions in the table service. */
export class ConfigurationHistory {
  private constructor(private readonly table: Table) {}

  static create(parts: { table: Table }): ConfigurationHistory {
    return new ConfigurationHistory(parts.table);
  }

  /** The newest accepted version; undefined before the first. */
  async head(): Promise<Head | undefined> {
    const row = await this.table.get(headKey);
    return row === undefined ? undefined : valueOf(headSchema, row);
  }

  /** Accepted changes above `version`, in order. */
  async changesAfter(version: number): Promise<ConfigurationChange[]> {
    const after = changeKey(version).sort;
    const rows = await this.table.query(CONFIGURATION_PARTITION, after, CHANGES_PER_READ);
    return rows
      .filter((row) => row.key.sort.startsWith("change#"))
      .map((row) => valueOf(changeSchema, row));
  }

  /** The change that led to `version`. */
  async change(version: number): Promise<ConfigurationChange | undefined> {
    const row = await this.table.get(changeKey(version));
    return row === undefined ? undefined : valueOf(changeSchema, row);
  }

  /** What became of a change id; undefined if nothing is stored under it. */
  async changeId(id: string): Promise<ChangeIdRecord | undefined> {
    const row = await this.table.get(changeIdKey(id));
    return row === undefined ? undefined : valueOf(changeIdSchema, row);
  }

  /** The newest accepted configuration; undefined before the first. */
  async newest(): Promise<Configuration | undefined> {
    const head = await this.head();
    if (head === undefined) return undefined;
    const row = await this.table.get(snapshotKey(head.snapshot));
    if (row === undefined) {
      throw ServeError.create(ErrorKind.Internal, `snapshot ${head.snapshot} is missing`);
    }
    let configuration = Configuration.create(head.snapshot, jsonOf(row));
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
