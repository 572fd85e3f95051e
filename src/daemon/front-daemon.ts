import { type FrontSettings } from "../settings/front-settings.js";
import { type FrontCradle, type PlatformAdapter, createFrontContainer } from "./front-container.js";
import { createLearners } from "./learners.js";
import { UnreadyReason } from "./readiness.js";

/** Time after SIGTERM for which new requests are served: two missed checks of the balancer. */
const BALANCER_LAG_MS = 2_600;
/** Part of the grace period after which nothing is waited for any more. */
const GRACE_PART = 0.92;
const PROGRESS_CHECK_MS = 100;
const LOGGED_DELAY_MS = 250;
/** Time for telling the other instances; one that misses it notices the silence. */
const LEAVE_MS = 500;

/** One entry instance on the platform. */
export class FrontDaemon {
  private stopping: Promise<void> | undefined;

  private constructor(
    private readonly parts: FrontCradle,
    private readonly settings: FrontSettings,
  ) {}

  static create(settings: FrontSettings, adapter: PlatformAdapter): FrontDaemon {
    return new FrontDaemon(createFrontContainer(settings, adapter).cradle, settings);
  }

  /** Resolves when the daemon accepts requests. */
  async start(): Promise<void> {
    const { peerServer, membership, storeView, frontServer, statusServer, readiness } = this.parts;
    this.watchLoop();
    this.parts.pauses.start();
    // Peer calls must be registered before they arrive, also if this instance has no requests yet.
    this.parts.stageDispatch.start();
    this.parts.limitKnowledge.start();
    this.parts.warmupGrants.start();
    this.parts.streamRecords.start();
    this.parts.relayedRequests.start();
    this.parts.upstreamReach.subscribe((isolated) => {
      this.parts.stagePools.suspend(isolated);
    });
    createLearners(this.parts);
    await Promise.all([peerServer.listen(), frontServer.listen(), statusServer.listen()]);
    storeView.start();
    this.parts.storedConvictions.start();
    this.parts.storedSuspicions.start();
    this.parts.planKeeper.start();
    this.parts.upstreamReach.start();
    this.parts.ownerConnections.start();
    readiness.clear(UnreadyReason.Starting);
    this.parts.log.info({ message: "listening", callers: this.settings.callers });
    await membership.start();
  }

  /** Requests whose answer has not ended. */
  get inProgress(): number {
    return this.parts.frontServer.inProgress + this.parts.relayedRequests.inProgress;
  }

  /** Notes changed settings; addresses and bounds take effect at the next start. */
  reloaded(settings: FrontSettings): void {
    this.parts.log.info({ message: "settings reloaded", seeds: settings.seeds });
  }

  /** Reports settings that cannot be used; those in force stay. */
  reloadFailed(error: unknown): void {
    this.parts.log.error({ message: "settings not reloaded", detail: String(error) });
  }

  /** Finishes requests in progress, then closes everything; calling it again changes nothing. */
  stop(): Promise<void> {
    return (this.stopping ??= this.drainAndClose());
  }

  /** Closes everything at once; requests in progress are cut. */
  async close(): Promise<void> {
    const { storeView, membership, frontServer, statusServer, peerServer, peerCalls } = this.parts;
    storeView.stop();
    this.parts.storedConvictions.stop();
    this.parts.storedSuspicions.stop();
    this.parts.planKeeper.stop();
    this.parts.upstreamReach.stop();
    this.parts.ownerConnections.stop();
    membership.stop();
    this.parts.pauses.stop();
    await Promise.all([frontServer.close(), statusServer.close(), peerServer.close()]);
    peerCalls.close();
    this.parts.connectionPools.close();
  }

  private watchLoop(): void {
    const { loopDelay, forwardMetrics, decisionLines } = this.parts;
    loopDelay.onDelay((delayMs) => {
      forwardMetrics.recordLoopDelay(delayMs);
      if (delayMs < LOGGED_DELAY_MS) return;
      decisionLines.write("event loop late", { delayMs: Math.round(delayMs) });
    });
  }

  private async drainAndClose(): Promise<void> {
    const { timers, log, readiness, membership, frontServer, stagePools, limitGrants } = this.parts;
    const end = timers.now() + GRACE_PART * this.settings.bounds.graceSeconds;
    log.info({ message: "stopping", inProgress: frontServer.inProgress });
    readiness.block(UnreadyReason.Draining);
    readiness.announceEnd(end);
    frontServer.startClosing();
    await Promise.race([membership.leave(), timers.sleep(LEAVE_MS)]);
    limitGrants.leave();
    this.parts.warmupGrants.leave();
    stagePools.handOver();
    await timers.sleep(BALANCER_LAG_MS - LEAVE_MS);
    readiness.refuseRequests();
    while ((this.inProgress > 0 || stagePools.inProgress > 0) && timers.now() < end) {
      frontServer.closeIdle();
      await timers.sleep(PROGRESS_CHECK_MS);
    }
    frontServer.closeIdle();
    log.info({ message: "stopped", inProgress: frontServer.inProgress });
    // The last answers and log lines are still on their way out.
    await timers.sleep(PROGRESS_CHECK_MS);
  }
}
