import type { Settings } from "../settings/settings.js";
import { registerAttemptQuery } from "../ledger/attempt-query.js";
import { type Cradle, createDaemonContainer } from "./container.js";
import { UnreadyReason } from "./readiness.js";

/** One entry instance of the system. */
export class Daemon {
  private constructor(private readonly parts: Cradle) {}

  static create(settings: Settings): Daemon {
    return new Daemon(createDaemonContainer(settings).cradle);
  }

  /** Resolves when the daemon accepts requests. */
  async start(): Promise<void> {
    const { configurationFollower, callerServer, peerServer, log, settings } = this.parts;
    const { membership, pauseDetection, ledgerExpiry, readiness } = this.parts;
    pauseDetection.start();
    await peerServer.listen();
    await membership.start();
    await configurationFollower.start();
    registerAttemptQuery(this.parts);
    ledgerExpiry.start();
    readiness.clear(UnreadyReason.Starting);
    await callerServer.listen();
    log.info({ message: "listening", callers: settings.callers });
  }

  /** Finishes requests in progress, then closes everything. */
  async stop(): Promise<void> {
    const { configurationFollower, callerServer, peerServer, peerCalls, clients, log } = this.parts;
    const { membership, pauseDetection, ledgerExpiry, tableBreaker } = this.parts;
    log.info({ message: "stopping" });
    await callerServer.close();
    configurationFollower.stop();
    ledgerExpiry.stop();
    tableBreaker.stop();
    membership.stop();
    pauseDetection.stop();
    await peerServer.close();
    await peerCalls.close();
    await clients.close();
  }
}
