import type { RowDecoder } from "./row-decoder.js";
import type { RowOrder } from "./row-order.js";

/** Orders texts of an upstream's row by the start of its process and the sequence of its writes. */
export class UpstreamOrder implements RowOrder {
  private constructor(private readonly rowDecoder: RowDecoder) {}

  static create(rowDecoder: RowDecoder): UpstreamOrder {
    return new UpstreamOrder(rowDecoder);
  }

  /** A missing row is not older: an upstream that lives writes it again within seconds. */
  isOlder(key: string, read: string | undefined, remembered: string): boolean {
    if (read === undefined) return false;
    const readWrite = this.rowDecoder.upstreamWrite(key, read);
    const rememberedWrite = this.rowDecoder.upstreamWrite(key, remembered);
    if (readWrite === undefined || rememberedWrite === undefined) return false;
    if (readWrite.startedMs !== rememberedWrite.startedMs)
      return readWrite.startedMs < rememberedWrite.startedMs;
    return readWrite.sequence <= rememberedWrite.sequence;
  }
}
