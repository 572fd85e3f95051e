import type { ConsolaInstance } from "consola";
import type { InstanceList } from "../table/instance-list.js";
import { type ListedInstance, listedInstanceSchema } from "../table/listed-instance.js";
import type { RowFeed } from "./row-feed.js";
import { StoreTable } from "./store-table.js";

const instanceRowSchema = listedInstanceSchema.omit({ id: true, state: true });

interface Parts {
  readonly rowFeed: RowFeed;
  readonly log: ConsolaInstance;
  readonly self: ListedInstance;
  /** Instances named in the settings; some may no longer exist. */
  readonly seeds: readonly ListedInstance[];
}

/** Lists the instances registered in the store and those named in the settings. */
export class StoreInstanceList implements InstanceList {
  private registered = false;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StoreInstanceList {
    return new StoreInstanceList(parts);
  }

  /** Registers this instance unless it is registered; if the store fails, returns only those of the settings. */
  async list(): Promise<ListedInstance[]> {
    const { rowFeed, log, self, seeds } = this.parts;
    try {
      if (!this.registered) await this.register();
      const { rows } = await rowFeed.readAll(StoreTable.Instances);
      const listed = rows.flatMap(([id, text]) => this.decodeRow(id, text));
      const listedIds = new Set(listed.map(({ id }) => id));
      // The row is lost if the store came back from a copy that is older than it.
      if (!listedIds.has(self.id)) await this.register();
      return [...listed, ...seeds.filter(({ id }) => !listedIds.has(id))];
    } catch (error) {
      log.warn({
        message: "store did not list the instances; using those named in the settings",
        detail: String(error),
      });
      return [...seeds];
    }
  }

  private async register(): Promise<void> {
    const { rowFeed, self } = this.parts;
    const { peerAddress, dataCentre, cores } = self;
    const text = JSON.stringify({ peerAddress, dataCentre, cores });
    await rowFeed.put(StoreTable.Instances, self.id, text);
    this.registered = true;
  }

  private decodeRow(id: string, text: string): ListedInstance[] {
    try {
      return [{ ...instanceRowSchema.parse(JSON.parse(text)), id, state: "live" }];
    } catch (error) {
      this.parts.log.warn({
        message: "instance row could not be decoded; ignoring it",
        id,
        detail: String(error),
      });
      return [];
    }
  }
}
