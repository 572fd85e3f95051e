import { ClaimHolders } from "../ledger/claim-holders.js";
import { ClaimWrites } from "../ledger/claim-writes.js";
import { LedgerExpiry } from "../ledger/ledger-expiry.js";
import type { Ledger } from "../ledger/ledger.js";
import { TableBreaker } from "../ledger/table-breaker.js";
import { TableLedger } from "../ledger/table-ledger.js";
import { WriteBatcher } from "../ledger/write-batcher.js";
import { AttemptRegistry } from "../pipeline/attempt-registry.js";
import { asFunction } from "awilix";
import type { Cradle } from "./container.js";

/** The parts for non-idempotent requests. */
export interface LedgerCradle {
  readonly attemptStates: AttemptRegistry;
  readonly tableBreaker: TableBreaker;
  readonly writeBatcher: WriteBatcher;
  readonly claimWrites: ClaimWrites;
  readonly claimHolders: ClaimHolders;
  readonly ledger: Ledger;
  readonly ledgerExpiry: LedgerExpiry;
}

/** How the parts for non-idempotent requests are made. */
export const ledgerParts = {
  attemptStates: asFunction(() => AttemptRegistry.create()).singleton(),
  tableBreaker: asFunction(TableBreaker.create).singleton(),
  writeBatcher: asFunction((parts: Cradle) => WriteBatcher.create(parts)).singleton(),
  claimWrites: asFunction(() => ClaimWrites.create()).singleton(),
  claimHolders: asFunction(ClaimHolders.create).singleton(),
  ledger: asFunction(TableLedger.create).singleton(),
  ledgerExpiry: asFunction(LedgerExpiry.create).singleton(),
};
