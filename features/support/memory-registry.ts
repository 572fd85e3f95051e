import type { ConfigurationChange } from "../../src/configuration/configuration-change.js";
import type { ConfigurationRegistry } from "../../src/configuration/configuration-registry.js";
import type { ConfigurationView } from "../../src/configuration/configuration-view.js";
import type { Proposal } from "../../src/configuration/proposal.js";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";

/** Accepts changes of one process and puts them in force at once. */
export class MemoryRegistry implements ConfigurationRegistry {
  /** Number of answers to lose after the change was accepted. */
  uncertain = 0;
  private readonly accepted: ConfigurationChange[] = [];

  constructor(private readonly view: ConfigurationView) {}

  submit({ changeId, operator, baseVersion, updates }: Proposal): Promise<ConfigurationChange> {
    const before = this.accepted.find(({ id }) => id === changeId);
    if (before !== undefined) return this.answer(before);
    const { configuration, version } = this.view;
    if (baseVersion !== version || configuration === undefined) {
      const detail = `version ${version} was accepted`;
      return Promise.reject(ServeError.create(ErrorKind.StaleBaseVersion, detail));
    }
    const next = { id: changeId, version: version + 1, operator, time: 0, updates: [...updates] };
    this.view.adopt(configuration.changedBy(next));
    this.accepted.unshift(next);
    return this.answer(next);
  }

  private answer(change: ConfigurationChange): Promise<ConfigurationChange> {
    if (this.uncertain-- <= 0) return Promise.resolve(change);
    return Promise.reject(ServeError.create(ErrorKind.TableUncertain, "no answer"));
  }

  history(limit: number): Promise<ConfigurationChange[]> {
    return Promise.resolve(this.accepted.slice(0, limit));
  }
}
