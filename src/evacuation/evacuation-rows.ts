import type { RowDecoder } from "../forward/row-decoder.js";
import type { RowChange } from "../forward/row-feed.js";
import type { EvacuationChange, Evacuations } from "./evacuations.js";

/**
 * Time for which an evacuation that a copy of the store lacks stays in force. The operator writes it
 * again after the store is back; if it had ended unnoticed, its upstreams are unused for this time.
 */
export const KEPT_AFTER_RESTORE_MS = 10_000;

interface Parts {
  readonly rowDecoder: Pick<RowDecoder, "evacuation">;
  readonly evacuations: Pick<Evacuations, "apply">;
}

/** Derives the evacuations from the operator's rows. */
export class EvacuationRows {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): EvacuationRows {
    return new EvacuationRows(parts);
  }

  /**
   * Applies changes of the operator's table; the content of a row does not matter. `restored` tells
   * that they are differences to a copy from which the store came back.
   */
  apply(rows: readonly RowChange[], restored: boolean): void {
    const { rowDecoder, evacuations } = this.parts;
    const changes = rows.flatMap(([key, text]): EvacuationChange[] => {
      const dataCentre = rowDecoder.evacuation(key);
      return dataCentre === undefined ? [] : [{ dataCentre, evacuated: text !== undefined }];
    });
    evacuations.apply(changes, restored ? KEPT_AFTER_RESTORE_MS : 0);
  }
}
