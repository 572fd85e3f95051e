import type { ConfigurationRegistry } from "../configuration/configuration-registry.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";

/** Refuses every change. */
export const noConfigurationRegistry: ConfigurationRegistry = {
  submit: () =>
    Promise.reject(ServeError.create(ErrorKind.ChangeNotAccepted, "there is no registry")),
  history: () => Promise.resolve([]),
};
