import type { UpstreamEntry } from "../forward/upstream-entry.js";

/** Stores the version at which a stream begins; resolves with whether that is known to all. */
type Store = (version: string, ordinal: number) => Promise<boolean>;

interface Parts {
  /** Version of the events that the caller holds; undefined before the first event. */
  readonly begun: string | undefined;
  /** Version at which a stream without events should begin; undefined for any. */
  readonly planned: string | undefined;
  /** Whether other instances find out the version of the stream without a record. */
  readonly isEvident: (version: string) => boolean;
  readonly store: Store;
  /** Called with the version of the first event that the caller gets. */
  readonly onBegun: (version: string) => void;
}

/** The software version at which the stream of one request may run. */
export class StreamVersion {
  private begun: string | undefined;
  private recordCount = 0;

  private constructor(private readonly parts: Parts) {
    this.begun = parts.begun;
  }

  static create(parts: Parts): StreamVersion {
    return new StreamVersion(parts);
  }

  /** For requests whose response cannot be continued. */
  static unrestricted(): StreamVersion {
    return new StreamVersion({
      begun: undefined,
      planned: undefined,
      isEvident: () => true,
      store: () => Promise.resolve(true),
      onBegun: () => undefined,
    });
  }

  /** Whether the caller holds events, so that the stream can only go on at their version. */
  get isBegun(): boolean {
    return this.begun !== undefined;
  }

  /** Whether the stream may go on at an upstream. */
  allows({ softwareVersion }: Pick<UpstreamEntry, "softwareVersion">): boolean {
    return this.begun === undefined || this.begun === softwareVersion;
  }

  /**
   * IDs of those upstreams that must not get the request. A stream without events begins at another
   * version if none of the planned one is usable.
   */
  excluded(
    entries: readonly UpstreamEntry[],
    isUsable: (entry: UpstreamEntry) => boolean,
  ): string[] {
    const version = this.begun ?? this.parts.planned;
    if (version === undefined) return [];
    const own = entries.filter(({ softwareVersion }) => softwareVersion === version);
    if (!this.isBegun && !own.some(isUsable)) return [];
    return entries.flatMap(({ id, softwareVersion }) => (softwareVersion === version ? [] : [id]));
  }

  /**
   * Called when an upstream begins to respond. Resolves with whether events may be passed on before
   * the stream is complete: they may not while another instance could take the stream for one of
   * another version. Undefined if they may.
   */
  begin({ softwareVersion }: UpstreamEntry): Promise<boolean> | undefined {
    const { isEvident, store } = this.parts;
    if (this.isBegun) return undefined;
    // A record of an earlier attempt, even if it was not confirmed, names another version.
    if (this.recordCount === 0 && isEvident(softwareVersion)) return undefined;
    const ordinal = this.recordCount;
    this.recordCount += 1;
    return store(softwareVersion, ordinal);
  }

  /** Called when events of an upstream are passed on to the caller. */
  recordEvents({ softwareVersion }: UpstreamEntry): void {
    if (this.isBegun) return;
    this.begun = softwareVersion;
    this.parts.onBegun(softwareVersion);
  }
}
