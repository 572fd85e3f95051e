import type { TableWrite } from "../table/table-write.js";
import type { Configuration } from "./configuration.js";
import type { ConfigurationChange } from "./configuration-change.js";
import {
  type ChangeIdRecord,
  type Head,
  changeIdKey,
  changeKey,
  headKey,
  snapshotKey,
} from "./configuration-rows.js";

/** Versions between snapshots; bounds the changes that a new instance applies. */
export const SNAPSHOT_EVERY = 50;

/**
 * The one transaction that accepts a change. The row version of the head equals the configuration
 * version, so its condition moves the head from N to N+1 only.
 */
export function acceptanceWrites(change: ConfigurationChange, next: Configuration): TableWrite[] {
  const { version } = change;
  const snapshot = version - (version % SNAPSHOT_EVERY);
  const head: Head = { version, snapshot: Math.max(1, snapshot) };
  const absent = { kind: "absent" } as const;
  const writes: TableWrite[] = [
    {
      kind: "put",
      key: changeKey(version),
      version: 1,
      value: JSON.stringify(change),
      expect: absent,
    },
    {
      kind: "put",
      key: headKey,
      version,
      value: JSON.stringify(head),
      expect: version === 1 ? absent : { kind: "version", version: version - 1 },
    },
    changeIdPut(change.id, { state: "accepted", version }),
  ];
  if (head.snapshot !== version) return writes;
  const value = JSON.stringify(next.document);
  return [...writes, { kind: "put", key: snapshotKey(version), version: 1, value, expect: absent }];
}

/** The put that settles an open change id. */
export function changeIdPut(id: string, record: ChangeIdRecord): TableWrite {
  return {
    kind: "put",
    key: changeIdKey(id),
    version: 1,
    value: JSON.stringify(record),
    expect: { kind: "absent" },
  };
}
