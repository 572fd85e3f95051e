import type { RowDecoder } from "./row-decoder.js";
import type { RowOrder } from "./row-order.js";

/** Orders texts of the configuration by the version that the operator gave them. */
export class ConfigurationOrder implements RowOrder {
  private constructor(private readonly rowDecoder: RowDecoder) {}

  static create(rowDecoder: RowDecoder): ConfigurationOrder {
    return new ConfigurationOrder(rowDecoder);
  }

  /** A configuration that was confirmed stays in force until the operator writes a newer one. */
  isOlder(key: string, read: string | undefined, remembered: string): boolean {
    const rememberedVersion = this.versionOf(key, remembered);
    return rememberedVersion !== undefined && (this.versionOf(key, read) ?? -1) < rememberedVersion;
  }

  /** Undefined if the text holds no valid configuration. */
  private versionOf(key: string, text: string | undefined): number | undefined {
    if (text === undefined) return undefined;
    try {
      return this.rowDecoder.configuration(key, text)?.version;
    } catch {
      // An invalid configuration is not in force at any instance.
      return undefined;
    }
  }
}
