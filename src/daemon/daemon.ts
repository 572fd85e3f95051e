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
    const { configurationFollower, callerServer, answerReads, log, settings } = this.parts;
    answerReads.start();
    this.adoption = this.parts.configurationView.subscribe(() => {
      this.parts.readiness.clear(UnreadyReason.Starting);
    });
    await configurationFollower.start();
    await callerServer.listen();
    await this.parts.operatorServer.listen();
    log.info({ message: "listening", callers: settings.callers });
  }

  /** Finishes requests in progress, then closes everything. */
  async stop(): Promise<void> {
    const { configurationFollower, callerServer, requestIntake, clients, log } = this.parts;
    log.info({ message: "stopping" });
    this.adoption?.cancel();
    this.parts.readiness.block(UnreadyReason.Draining);
    requestIntake.refuseNew();
    await callerServer.close();
    await this.parts.operatorServer.close();
    configurationFollower.stop();
    await clients.close();
  }
}
