import { LRUCache } from "lru-cache";

/** Bounds memory to a few MB; an instance begins some 50 streams per second. */
const MAX_STREAMS = 16_384;

/** Software versions of the streams that this instance began or resumed lately, by stream key. */
export class BegunStreams {
  private readonly versions = new LRUCache<string, string>({ max: MAX_STREAMS });

  private constructor() {
    // Use `create`.
  }

  static create(): BegunStreams {
    return new BegunStreams();
  }

  add(key: string, version: string): void {
    this.versions.set(key, version);
  }

  find(key: string): string | undefined {
    return this.versions.get(key);
  }
}
