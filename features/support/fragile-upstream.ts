import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import type { CallIdentity } from "../../src/upstream/call-identity.js";
import type { Timers } from "../../src/time/timers.js";

const SERVICE_TIME_MS = 100;
const RESTART_DELAY_MS = 3_000;
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

  /** `crashMs` is the time in ms from the arrival of a poison request to the crash. */
  static create(timers: Timers, crashMs: number): FragileUpstream {
    return new FragileUpstream(timers, crashMs);
  }

  async call(
    _path: string,
    _identity: CallIdentity,
    body: { readonly text: string },
    signal: AbortSignal,
  ): Promise<unknown> {
    if (this.down) throw crashError(true);
    const controller = new AbortController();
    this.running.add(controller);
    const combinedSignal = AbortSignal.any([signal, controller.signal]);
    try {
      if (body.text.startsWith("poison")) {
        await this.timers.sleep(this.crashMs, combinedSignal);
        this.crash();
        throw crashError(false);
      }
      await this.timers.sleep(SERVICE_TIME_MS, combinedSignal);
      return ANSWER;
    } finally {
      this.running.delete(controller);
    }
  }

  load(): Promise<number> {
    return this.down ? Promise.reject(crashError(true)) : Promise.resolve(this.running.size);
  }

  private crash(): void {
    if (this.down) return;
    this.down = true;
    this.crashes += 1;
    for (const controller of this.running) controller.abort(crashError(false));
    this.timers.after(RESTART_DELAY_MS, () => {
      this.down = false;
    });
  }
}

function crashError(undispatched: boolean): ServeError {
  return ServeError.create(ErrorKind.UpstreamCrashed, "the process ended", { undispatched });
}
