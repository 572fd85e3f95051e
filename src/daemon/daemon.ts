import type { Settings } from "../settings/settings.js";
import { type Cradle, createDaemonContainer } from "./container.js";

/** One entry instance of the system. */
export class Daemon {
  private constructor(private readonly parts: Cradle) {}

  static create(settings: Settings): Daemon {
    return new Daemon(createDaemonContainer(settings).cradle);
  }

  /** Resolves when the daemon accepts requests. */
  async start(): Promise<void> {
    const { configurationFollower, callerServer, peerServer, log, settings } = this.parts;
    const { membership, pauseDetection } = this.parts;
    pauseDetection.start();
    await peerServer.listen();
    await membership.start();
    await configurationFollower.start();
    await callerServer.listen();
    log.info({ message: "listening", callers: settings.callers });
  }

  /** Finishes requests in progress, then closes everything. */
  async stop(): Promise<void> {
    const { configurationFollower, callerServer, peerServer, peerCalls, clients, log } = this.parts;
    const { membership, pauseDetection } = this.parts;
    log.info({ message: "stopping" });
    await callerServer.close();
    configurationFollower.stop();
    membership.stop();
    pauseDetection.stop();
    await peerServer.close();
    await peerCalls.close();
    await clients.close();
  }
}
