import { EventEmitter } from "node:events";

/** What a connection needs of a socket, without a network. */
export class SilentSocket extends EventEmitter {
  destroyed = false;

  destroy(): void {
    this.destroyed = true;
    this.emit("close");
  }
}
