/** A read whose result is shared by all callers that wait for the same one. */
export class SharedRead<Result> {
  private current: Promise<unknown> = Promise.resolve();
  private next: Promise<Result> | undefined;

  private constructor(private readonly read: () => Promise<Result>) {}

  static create<Result>(read: () => Promise<Result>): SharedRead<Result> {
    return new SharedRead(read);
  }

  /** The result of a read that begins after the call; rejects if that read fails. */
  fresh(): Promise<Result> {
    this.next ??= this.afterCurrent();
    return this.next;
  }

  private async afterCurrent(): Promise<Result> {
    await this.current;
    this.next = undefined;
    const result = this.read();
    this.current = result.catch(() => undefined);
    return result;
  }
}
