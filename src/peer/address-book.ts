/** Peer addresses of instances by id; the member table writes them, the peer clients read them. */
export class AddressBook {
  private readonly addresses = new Map<string, string>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): AddressBook {
    return new AddressBook();
  }

  /** The URL of the instance's peer server. */
  find(instance: string): string | undefined {
    return this.addresses.get(instance);
  }

  set(instance: string, address: string): void {
    this.addresses.set(instance, address);
  }

  remove(instance: string): void {
    this.addresses.delete(instance);
  }
}
