import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { PeerSettings } from "./peer-settings.js";
import type { Timers } from "../time/timers.js";
import type { AddressBook } from "./address-book.js";
import type { CallRider } from "./call-rider.js";
import type { PeerCalls } from "./peer-calls.js";
import { PeerClient } from "./peer-client.js";
import type { PeerConnections } from "./peer-connections.js";
import type { PeerMethod } from "./peer-method.js";

interface Parts {
  readonly settings: PeerSettings;
  readonly timers: Timers;
  readonly addressBook: AddressBook;
  readonly callRider?: CallRider | undefined;
}

/** One client for each peer, created at the first call and replaced when the address changes. */
export class PeerClients implements PeerCalls, PeerConnections {
  private readonly clients = new Map<string, PeerClient>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): PeerClients {
    return new PeerClients(parts);
  }

  async call(
    instance: string,
    method: PeerMethod,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const address = this.parts.addressBook.find(instance);
    if (address === undefined) {
      this.disconnect(instance);
      throw ServeError.create(
        ErrorKind.PeerUnavailable,
        `no address is known for instance "${instance}"`,
      );
    }
    return this.client(instance, address).call(method, params, timeoutMs);
  }

  open(instance: string): void {
    const address = this.parts.addressBook.find(instance);
    if (address !== undefined) this.client(instance, address).open();
  }

  /** Closes the client of an instance with its connection. */
  disconnect(instance: string): void {
    this.clients.get(instance)?.close();
    this.clients.delete(instance);
  }

  close(): void {
    const clients = [...this.clients.values()];
    this.clients.clear();
    for (const clientFor of clients) clientFor.close();
  }

  private client(instance: string, address: string): PeerClient {
    const known = this.clients.get(instance);
    if (known?.address === address) return known;
    this.disconnect(instance);
    const { settings, timers, callRider } = this.parts;
    const { secret } = settings.peers;
    const self = settings.instance.id;
    const client = PeerClient.create(timers, { self, instance, address, secret }, callRider);
    this.clients.set(instance, client);
    return client;
  }
}
