/** Why an instance must not get new requests. */
export enum UnreadyReason {
  Starting = "starting",
  ConfigurationNotCurrent = "configuration-not-current",
  Draining = "draining",
}

/** Whether this instance may get new requests; it starts as unready. */
export class Readiness {
  private readonly blocking = new Set<UnreadyReason>([UnreadyReason.Starting]);

  private constructor() {
    // Instances come from `create`.
  }

  static create(): Readiness {
    return new Readiness();
  }

  get ready(): boolean {
    return this.blocking.size === 0;
  }

  get reasons(): readonly UnreadyReason[] {
    return [...this.blocking];
  }

  block(reason: UnreadyReason): void {
    this.blocking.add(reason);
  }

  clear(reason: UnreadyReason): void {
    this.blocking.delete(reason);
  }
}
