import type { Timers } from "../src/time/timers.js";
import { StoreMode } from "../standin/platform-store.js";
import { LinkState } from "../standin/link-state.js";
import { siteBounds } from "../standin/platform-site.js";
import { UpstreamMode } from "../standin/upstream-mode.js";
import type { SoakFleet } from "./soak-fleet.js";
import { FreezeLog } from "./freeze-log.js";
import { isolationOf } from "./isolation-check.js";
import { DaemonSignal, LinkSide, type PlannedFault, type SoakFault } from "./soak-fault.js";

/** Time from the end of a process to its next start. */
const RESTART_MS = 300;
/** Time until the operator writes again what the store has lost. */
const REWRITE_MS = 1_000;
/** Time that an upstream still serves after it is out of use; it then begins anew. */
const LINGER_MS = 1_000;
const GRACE_MS = siteBounds.graceSeconds * 1_000;

/** Causes the disturbances of a plan, each in a task of its own. */
export class SoakDriver {
  /** Promises about a daemon's own end that were not kept. */
  readonly findings: string[] = [];
  /** Disturbances that last, by the part that they change. */
  private readonly held = new Map<string, number>();
  private readonly freezes = FreezeLog.create();

  private constructor(
    private readonly timers: Timers,
    private readonly fleet: SoakFleet,
  ) {}

  static create(timers: Timers, fleet: SoakFleet): SoakDriver {
    return new SoakDriver(timers, fleet);
  }

  /** Resolves when the last disturbance has ended. */
  async run(plan: readonly PlannedFault[]): Promise<void> {
    const tasks = plan.map(async ({ atMs, forMs, fault }) => {
      await this.timers.sleep(atMs);
      const end = this.fleet.troubles.begin(subjectOf(fault), this.timers.wallClock());
      try {
        await this.cause(fault, forMs);
      } finally {
        end(this.timers.wallClock());
      }
    });
    await Promise.all(tasks);
  }

  private async cause(fault: SoakFault, forMs: number): Promise<void> {
    const { fleet, timers } = this;
    switch (fault.kind) {
      case "signal":
        await this.signal(fault.signal, fault.target, forMs);
        return;
      case "link": {
        const link = fleet.link(fault.side, fault.target);
        link.state = fault.state;
        await this.hold(`link ${fault.side} ${fault.target}`, forMs, () => {
          link.state = LinkState.Open;
        });
        return;
      }
      case "isolation": {
        const links = fleet.upstreamLinksOf(fault.target);
        for (const link of links) link.state = fault.state;
        await this.hold(isolationOf(fault.target), forMs, () => {
          for (const link of links) link.state = LinkState.Open;
        });
        return;
      }
      case "store":
        fleet.site.store.mode = fault.mode;
        await this.hold("store", forMs, () => {
          fleet.site.store.mode = StoreMode.Serving;
        });
        return;
      case "history":
        fleet.site.store.forgetHistory();
        return;
      case "restore":
        await this.alone("restore", async () => {
          const copy = fleet.site.store.copy();
          await timers.sleep(forMs);
          await fleet.site.restore(copy, REWRITE_MS);
        });
        return;
      case "upstream": {
        const upstream = fleet.site.upstreams[fault.target];
        if (upstream === undefined) return;
        upstream.mode = fault.mode;
        await this.hold(`upstream ${fault.target}`, forMs, () => {
          upstream.mode = UpstreamMode.Serving;
        });
        return;
      }
      case "leaving":
        await this.alone(`leaving ${fault.target}`, async () => {
          fleet.leave(fault.target);
          await timers.sleep(siteBounds.drainMs + LINGER_MS);
          fleet.rejoin(fault.target);
        });
        return;
      case "limit": {
        const upstream = fleet.site.upstreams[fault.target];
        if (upstream === undefined) return;
        upstream.requestLimit = String(fault.perSecond);
        await this.hold(`limit ${fault.target}`, forMs, () => {
          upstream.requestLimit = undefined;
        });
        return;
      }
      case "key":
        fleet.changeKey();
    }
  }

  private async signal(signal: DaemonSignal, target: number, forMs: number): Promise<void> {
    const { timers, fleet } = this;
    const daemon = fleet.instances[target]?.daemon;
    if (daemon === undefined) return;
    switch (signal) {
      case DaemonSignal.Reload:
        if (await daemon.handlesSignals()) daemon.signal("SIGHUP");
        return;
      case DaemonSignal.Freeze:
        daemon.signal("SIGSTOP");
        this.freezes.begin(target, timers.now());
        await this.hold(`freeze ${target}`, forMs, () => {
          daemon.signal("SIGCONT");
          this.freezes.end(target, timers.now());
        });
        return;
      case DaemonSignal.Kill:
      case DaemonSignal.Stop:
        await this.alone(`end ${target}`, async () => {
          const startMs = timers.now();
          const booting = !(await daemon.handlesSignals());
          const code = await daemon.end(signal === DaemonSignal.Kill ? "SIGKILL" : "SIGTERM");
          // A frozen process cannot end.
          const frozenMs = this.freezes.frozenMs(target, startMs, timers.now());
          const tookMs = Math.round(timers.now() - startMs - frozenMs);
          if (signal === DaemonSignal.Stop && !booting && (code !== 0 || tookMs > GRACE_MS)) {
            this.findings.push(`i${target} ended with ${String(code)} ${tookMs} ms after SIGTERM`);
          }
          await timers.sleep(RESTART_MS);
          daemon.start();
        });
    }
  }

  /** Calls `release` at the end of the last of several disturbances of one part. */
  private async hold(part: string, forMs: number, release: () => void): Promise<void> {
    this.held.set(part, (this.held.get(part) ?? 0) + 1);
    await this.timers.sleep(forMs);
    const left = (this.held.get(part) ?? 1) - 1;
    this.held.set(part, left);
    if (left === 0) release();
  }

  /** Skips what is already in progress. */
  private async alone(part: string, action: () => Promise<void>): Promise<void> {
    if ((this.held.get(part) ?? 0) > 0) return;
    this.held.set(part, 1);
    await action();
    this.held.set(part, 0);
  }
}

/** What a disturbance harms, as the checks name it. */
export function subjectOf(fault: SoakFault): string {
  switch (fault.kind) {
    case "signal":
      return `daemon ${fault.target}`;
    case "link":
      return fault.side === LinkSide.Upstream
        ? `upstream ${fault.target}`
        : `daemon ${fault.target}`;
    case "upstream":
    case "limit":
      return `upstream ${fault.target}`;
    case "isolation":
      return isolationOf(fault.target);
    case "leaving":
      return "leaving";
    case "store":
    case "history":
    case "restore":
      return "store";
    case "key":
      return "key";
  }
}
