import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

const KEY_BYTES = 32;

/**
 * Finds the owner of a credential by its digest. Digests are compared under a random key of the
 * process, so that the time of a look-up says nothing about the stored digests.
 */
export class CredentialIndex {
  private readonly key = randomBytes(KEY_BYTES);
  private readonly owners = new Map<string, { readonly mac: Buffer; readonly owner: string }>();

  private constructor(credentials: readonly (readonly [digest: string, owner: string])[]) {
    for (const [digest, owner] of credentials) {
      const mac = this.mac(digest);
      this.owners.set(mac.toString("hex"), { mac, owner });
    }
  }

  static create(
    credentials: readonly (readonly [digest: string, owner: string])[],
  ): CredentialIndex {
    return new CredentialIndex(credentials);
  }

  /** The owner of the credential with this SHA-256 digest in hex. */
  ownerOf(digest: string): string | undefined {
    const mac = this.mac(digest);
    const entry = this.owners.get(mac.toString("hex"));
    return entry !== undefined && timingSafeEqual(entry.mac, mac) ? entry.owner : undefined;
  }

  private mac(digest: string): Buffer {
    return createHmac("sha256", this.key).update(digest).digest();
  }
}
