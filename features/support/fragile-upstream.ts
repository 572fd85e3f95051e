import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import type { CallIdentity } from "../../src/upstream/call-identity.js";
import type { Timers } from "../../src/time/timers.js";

const SERVICE_MS = 100;
const RESTART_MS = 3_000;
const ANSWER = { documents: [] };

/** An in-process retriever that crashes on requests whose text begins with "poison". */
export class FragileUpstream {
  crashes = 0;
  private down = false;
  private readonly running = new Set<AbortController>();

  private constructor(
    private readonly timers: Timers,
    private readonly crashMs: number,
  ) {}

  /** `crashMs` is the time from the arrival of a poison request to the crash. */
  static create(timers: Timers, crashMs: number): FragileUpstream {
    return new FragileUpstream(timers, crashMs);
  }

  async call(
    _path: string,
    _identity: CallIdentity,
    body: { readonly text: string },
    signal: AbortSignal,
  ): Promise<unknown> {
    if (this.down) throw crashed(true);
    const stop = new AbortController();
    this.running.add(stop);
    const either = AbortSignal.any([signal, stop.signal]);
    try {
      if (body.text.startsWith("poison")) {
        await this.timers.sleep(this.crashMs, either);
        this.crash();
        throw crashed(false);
      }
      await this.timers.sleep(SERVICE_MS, either);
      return ANSWER;
    } finally {
      this.running.delete(stop);
    }
  }

  load(): Promise<number> {
    return this.down ? Promise.reject(crashed(true)) : Promise.resolve(this.running.size);
  }

  private crash(): void {
    if (this.down) return;
    this.down = true;
    this.crashes += 1;
    for (const stop of this.running) stop.abort(crashed(false));
    this.timers.after(RESTART_MS, () => {
      this.down = false;
    });
  }
}

function crashed(undispatched: boolean): ServeError {
  return ServeError.create(ErrorKind.UpstreamCrashed, "the process ended", { undispatched });
}
