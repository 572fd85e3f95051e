import { createHash } from "node:crypto";

const SCHEME = "Bearer ";

/** SHA-256 in hex of the bearer credential in an `Authorization` header, if there is one. */
export function credentialDigest(authorization: string | undefined): string | undefined {
  if (authorization?.startsWith(SCHEME) !== true) return undefined;
  return createHash("sha256").update(authorization.slice(SCHEME.length)).digest("hex");
}
