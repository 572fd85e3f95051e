import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Row } from "../table/row.js";
import type { RowKey } from "../table/row-key.js";
import type { TableWrite } from "../table/table-write.js";

const KEY: RowKey = { partition: "placement", sort: "plan" };
const enginesSchema = z.record(z.string(), z.array(z.string()));

/** The models of engines that placement has decided, as kept in the table. */
export class PlacementPlan {
  static readonly key = KEY;

  private constructor(
    private readonly version: number,
    readonly engines: Readonly<Record<string, readonly string[]>>,
  ) {}

  /** Reads the row; throws `Internal` if another program version wrote something not understood. */
  static of(row: Row | undefined): PlacementPlan {
    if (row === undefined) return new PlacementPlan(0, {});
    try {
      return new PlacementPlan(row.version, enginesSchema.parse(JSON.parse(row.value)));
    } catch (error) {
      throw ServeError.create(ErrorKind.Internal, "the placement row is not readable", {
        cause: error,
      });
    }
  }

  /** The plan with another set of models on one engine. */
  with(engine: string, models: readonly string[]): PlacementPlan {
    return new PlacementPlan(this.version, { ...this.engines, [engine]: models });
  }

  /** The write that replaces the plan that was read by this one. */
  write(): TableWrite {
    const { version, engines } = this;
    return {
      kind: "put",
      key: KEY,
      version: version + 1,
      value: JSON.stringify(engines),
      expect: version === 0 ? { kind: "absent" } : { kind: "version", version },
    };
  }
}
