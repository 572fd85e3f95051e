import type { ConfigurationRegistry } from "../configuration/configuration-registry.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Ledger } from "../ledger/ledger.js";
import type { Members } from "../peer/members.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import type { PeerMethods } from "../peer/peer-methods.js";

/** Peers of a daemon that is alone. */
export const noPeerCalls: PeerCalls = {
  call: (instance) =>
    Promise.reject(ServeError.create(ErrorKind.PeerUnavailable, `no peer "${instance}"`)),
};

/** Accepts methods that nobody calls. */
export const noPeerMethods: PeerMethods = { register: () => undefined };

/** Members of a daemon that is alone. */
export function noMembers(self: string): Members {
  return {
    self,
    all: () => [],
    find: () => undefined,
    subscribe: () => ({ cancel: () => undefined }),
  };
}

/** Refuses every claim: without a ledger no non-idempotent request may run. */
export const noLedger: Ledger = {
  claim: () => Promise.reject(ServeError.create(ErrorKind.TableUnavailable, "there is no ledger")),
};

/** Refuses every change. */
export const noConfigurationRegistry: ConfigurationRegistry = {
  submit: () =>
    Promise.reject(ServeError.create(ErrorKind.ChangeNotAccepted, "there is no registry")),
  history: () => Promise.resolve([]),
};
