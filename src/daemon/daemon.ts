import { registerAttemptQuery } from "../ledger/attempt-query.js";
import type { Subscription } from "../time/subscription.js";
import type { Settings } from "../settings/settings.js";
import { type Cradle, createDaemonContainer } from "./container.js";
import { UnreadyReason } from "./readiness.js";

/** One entry instance of the system. */
export class Daemon {
  private adoption: Subscription | undefined;

  private constructor(private readonly parts: Cradle) {}

  static create(settings: Settings): Daemon {
    return new Daemon(createDaemonContainer(settings).cradle);
  }

  /** Resolves when the daemon accepts requests. */
  async start(): Promise<void> {
    const { configurationFollower, callerServer, peerServer, log, settings } = this.parts;
    const { membership, pauseDetection } = this.parts;
    pauseDetection.start();
    this.parts.answerReads.start();
    registerAttemptQuery(this.parts);
    this.parts.ledgerExpiry.start();
    this.adoption = this.parts.configurationView.subscribe(() => {
      this.parts.readiness.clear(UnreadyReason.Starting);
    });
    await peerServer.listen();
    await membership.start();
    await configurationFollower.start();
    await callerServer.listen();
    await this.parts.operatorServer.listen();
    log.info({ message: "listening", callers: settings.callers });
  }

  /** Finishes requests in progress, then closes everything. */
  async stop(): Promise<void> {
    const { configurationFollower, callerServer, peerServer, peerCalls, clients, log } = this.parts;
    const { membership, pauseDetection } = this.parts;
    log.info({ message: "stopping" });
    this.adoption?.cancel();
    this.parts.readiness.block(UnreadyReason.Draining);
    this.parts.requestIntake.refuseNew();
    await callerServer.close();
    await this.parts.operatorServer.close();
    configurationFollower.stop();
    membership.stop();
    pauseDetection.stop();
    this.parts.ledgerExpiry.stop();
    this.parts.tableBreaker.stop();
    await peerServer.close();
    await peerCalls.close();
    await clients.close();
  }
}
