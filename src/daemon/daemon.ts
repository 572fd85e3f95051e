import { registerAttemptQuery } from "../ledger/attempt-query.js";
import type { Settings } from "../settings/settings.js";
import { type Cradle, createDaemonContainer } from "./container.js";
import { UnreadyReason } from "./readiness.js";

const PROGRESS_CHECK_MS = 50;
/** Time for telling the peers; an instance that misses it notices the silence. */
const LEAVE_MS = 2_000;
/** Time without a read after which a stop no longer waits for callers that resume. */
const UNREAD_MS = 2_000;

/** One entry instance of the system. */
export class Daemon {
  private stopping: Promise<void> | undefined;

  private constructor(private readonly parts: Cradle) {}

  static create(settings: Settings): Daemon {
    return new Daemon(createDaemonContainer(settings).cradle);
  }

  /** Resolves when the daemon accepts requests. */
  async start(): Promise<void> {
    const { configurationFollower, callerServer, peerServer, log, settings } = this.parts;
    const { membership, pauseDetection, readiness } = this.parts;
    pauseDetection.start();
    this.parts.metrics.start();
    this.parts.answerReads.start();
    this.parts.crashSuspects.start();
    registerAttemptQuery(this.parts);
    this.parts.ledgerExpiry.start();
    await peerServer.listen();
    await membership.start();
    await configurationFollower.start();
    await callerServer.listen();
    await this.parts.operatorServer.listen();
    this.parts.placementTask.start();
    this.parts.orderDispatch.start();
    readiness.clear(UnreadyReason.Starting);
    log.info({ message: "listening", callers: settings.callers });
  }

  /** Finishes requests in progress, then closes everything; calling it again changes nothing. */
  stop(): Promise<void> {
    return (this.stopping ??= this.drainAndClose());
  }

  private async drainAndClose(): Promise<void> {
    const { timers, settings, log, readiness, newRequests, membership } = this.parts;
    const { balancerLagMs, graceMs } = settings.bounds;
    log.info({ message: "stopping" });
    readiness.block(UnreadyReason.Draining);
    await timers.sleep(balancerLagMs);
    newRequests.refuse();
    const end = timers.now() + graceMs;
    await this.finishRequests(end);
    this.parts.placementTask.stop();
    this.parts.orderDispatch.stop();
    await Promise.race([membership.leave(), timers.sleep(LEAVE_MS)]);
    await this.keepAnswers(end);
    await Promise.race([this.close(), timers.sleep(Math.max(0, end - timers.now()))]);
    log.info({ message: "stopped" });
  }

  private async finishRequests(end: number): Promise<void> {
    const { timers, answerLog, claimWrites, log } = this.parts;
    const unfinished = (): boolean => answerLog.inProgress > 0 || claimWrites.pending > 0;
    while (unfinished() && timers.now() < end) await timers.sleep(PROGRESS_CHECK_MS);
    if (unfinished()) {
      const { inProgress } = answerLog;
      const claims = claimWrites.pending;
      log.warn({ message: "grace period is over", inProgress, claims });
    }
  }

  /** Keeps finished answers readable until `end` or until nobody reads them any more. */
  private async keepAnswers(end: number): Promise<void> {
    const { timers, answerLog } = this.parts;
    let { reads } = answerLog;
    let quietSince = timers.now();
    while (answerLog.readable > 0 && timers.now() < Math.min(end, quietSince + UNREAD_MS)) {
      await timers.sleep(PROGRESS_CHECK_MS);
      if (answerLog.reads === reads) continue;
      ({ reads } = answerLog);
      quietSince = timers.now();
    }
  }

  private async close(): Promise<void> {
    const { configurationFollower, callerServer, peerServer, peerCalls, clients } = this.parts;
    const { membership, pauseDetection } = this.parts;
    // Waits until the answers of finished requests are written.
    await callerServer.close();
    await this.parts.operatorServer.close();
    configurationFollower.stop();
    membership.stop();
    pauseDetection.stop();
    this.parts.pools.stopPolling();
    this.parts.ledgerExpiry.stop();
    this.parts.tableBreaker.stop();
    await peerServer.close();
    peerCalls.close();
    await clients.close();
    await this.parts.metrics.stop();
  }
}
