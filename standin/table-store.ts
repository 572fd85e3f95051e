/** An item in DynamoDB's attribute notation. */
export interface TableItem {
  readonly pk: { readonly S: string };
  readonly sk: { readonly S: string };
  readonly version: { readonly N: string };
  readonly value: { readonly S: string };
}

type Key = Pick<TableItem, "pk" | "sk">;

interface Condition {
  readonly ConditionExpression?: string;
  readonly ExpressionAttributeValues?: Readonly<Record<string, { readonly N: string }>>;
}

/** One part of a `TransactWriteItems` request. */
export type TransactItem =
  | { readonly Put: Condition & { readonly Item: TableItem } }
  | { readonly ConditionCheck: Condition & { readonly Key: Key } }
  | { readonly Delete: Condition & { readonly Key: Key } };

/** The rows of the stand-in table, with the two condition expressions that the adapter uses. */
export class TableStore {
  private readonly partitions = new Map<string, Map<string, TableItem>>();
  private readonly tokens = new Set<string>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): TableStore {
    return new TableStore();
  }

  get(key: Key): TableItem | undefined {
    return this.partitions.get(key.pk.S)?.get(key.sk.S);
  }

  query(partition: string, after: string, limit: number): TableItem[] {
    return [...(this.partitions.get(partition)?.values() ?? [])]
      .filter((item) => item.sk.S > after)
      .sort((a, b) => (a.sk.S < b.sk.S ? -1 : 1))
      .slice(0, limit);
  }

  /** Applies all items or none; returns the cancellation codes in the latter case. */
  transact(items: readonly TransactItem[], token: string): string[] | undefined {
    if (this.tokens.has(token)) return undefined;
    const keys = new Set(items.map((item) => JSON.stringify(keyOf(item))));
    if (keys.size < items.length) throw new Error("a transaction names a row twice");
    const codes = items.map((item) => (this.holds(item) ? "None" : "ConditionalCheckFailed"));
    if (codes.some((code) => code !== "None")) return codes;
    for (const item of items) this.apply(item);
    this.tokens.add(token);
    return undefined;
  }

  private holds(item: TransactItem): boolean {
    const operation = operationOf(item);
    const { ConditionExpression: expression, ExpressionAttributeValues: values } = operation;
    const present = this.get(keyOf(item));
    switch (expression) {
      case undefined:
        return true;
      case "attribute_not_exists(pk)":
        return present === undefined;
      case "#version = :version":
        return present !== undefined && present.version.N === values?.[":version"]?.N;
      default:
        throw new Error(`unsupported condition: ${expression}`);
    }
  }

  private apply(item: TransactItem): void {
    if ("Put" in item) {
      const { Item } = item.Put;
      const partition = this.partitions.get(Item.pk.S) ?? new Map<string, TableItem>();
      this.partitions.set(Item.pk.S, partition.set(Item.sk.S, Item));
    } else if ("Delete" in item) {
      this.partitions.get(item.Delete.Key.pk.S)?.delete(item.Delete.Key.sk.S);
    }
  }
}

function operationOf(item: TransactItem): Condition & ({ Item: TableItem } | { Key: Key }) {
  if ("Put" in item) return item.Put;
  return "Delete" in item ? item.Delete : item.ConditionCheck;
}

function keyOf(item: TransactItem): Key {
  const operation = operationOf(item);
  const { pk, sk } = "Item" in operation ? operation.Item : operation.Key;
  return { pk, sk };
}
