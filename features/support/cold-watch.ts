import type { ColdFleet } from "./cold-fleet.js";

const INTERVAL_MS = 50;

/** Observes for how long instances count the home of the hot prompt as cold. */
export class ColdWatch {
  heldMs = 0;

  private constructor(private readonly fleet: ColdFleet) {}

  static start(fleet: ColdFleet): ColdWatch {
    const watch = new ColdWatch(fleet);
    watch.look(fleet.home, fleet.timers.now());
    return watch;
  }

  private look(id: string, startedMs: number): void {
    const { timers, instances } = this.fleet;
    if (instances.some(({ coldUpstreams }) => coldUpstreams.isCold({ id })))
      this.heldMs = timers.now() - startedMs;
    timers.after(INTERVAL_MS, () => {
      this.look(id, startedMs);
    });
  }
}
