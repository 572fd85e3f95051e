import { isDeepStrictEqual } from "node:util";
import type { ConsolaInstance } from "consola";
import { nanoid } from "nanoid";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Updates } from "../peer/updates.js";
import type { Table } from "../table/table.js";
import type { Timers } from "../time/timers.js";
import { Configuration } from "./configuration.js";
import type { ConfigurationChange } from "./configuration-change.js";
import type { ConfigurationHistory } from "./configuration-history.js";
import type { ConfigurationRegistry } from "./configuration-registry.js";
import type { ConfigurationView } from "./configuration-view.js";
import { acceptanceWrites, changeIdPut } from "./acceptance-writes.js";
import type { PeerChanges } from "./peer-changes.js";
import type { Proposal } from "./proposal.js";

/** Sends of one acceptance before the change id is closed by a tombstone. */
const SENDS = 2;

interface Parts {
  readonly table: Table;
  readonly timers: Timers;
  readonly log: ConsolaInstance;
  readonly updates: Updates;
  readonly configurationHistory: ConfigurationHistory;
  readonly configurationView: ConfigurationView;
  readonly peerChanges: PeerChanges;
}

/** Accepts each change by one transaction on the head, the change and its change id. */
export class TableConfigurationRegistry implements ConfigurationRegistry {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): TableConfigurationRegistry {
    return new TableConfigurationRegistry(parts);
  }

  async submit(proposal: Proposal): Promise<ConfigurationChange> {
    const { configurationHistory, log } = this.parts;
    const [known, newest = Configuration.empty()] = await notAcceptedOnFailure(async () => [
      await this.acceptedBefore(proposal),
      await configurationHistory.newest(),
    ]);
    if (known !== undefined) return known;
    if (newest.version !== proposal.baseVersion) throw await this.stale(proposal.baseVersion + 1);
    const change: ConfigurationChange = {
      id: proposal.changeId,
      version: newest.version + 1,
      operator: proposal.operator,
      time: this.parts.timers.wallClock(),
      updates: [...proposal.updates],
    };
    const next = newest.changedBy(change);
    const accepted = await this.accept(proposal, change, next);
    if (accepted === change) this.announce(change, next);
    log.info({ message: "configuration change accepted", version: accepted.version });
    return accepted;
  }

  async history(limit: number): Promise<ConfigurationChange[]> {
    const { configurationHistory } = this.parts;
    const head = await configurationHistory.head();
    const found: ConfigurationChange[] = [];
    let reached = Math.max(1, (head?.version ?? 1) - limit);
    for (;;) {
      const changes = await configurationHistory.changesAfter(reached);
      found.push(...changes);
      reached = changes.at(-1)?.version ?? reached;
      if (changes.length === 0 || reached >= (head?.version ?? 1)) break;
    }
    return found.reverse().slice(0, limit);
  }

  private async accept(
    proposal: Proposal,
    change: ConfigurationChange,
    next: Configuration,
  ): Promise<ConfigurationChange> {
    const { table } = this.parts;
    const writes = acceptanceWrites(change, next);
    for (let send = 0; send < SENDS; send += 1) {
      try {
        const result = await table.transact(writes, nanoid());
        if (result.kind === "committed") return change;
        return await this.rejected(proposal, change);
      } catch (error) {
        const failure = ServeError.from(error, ErrorKind.TableUncertain);
        if (!isTableFailure(failure)) throw failure;
      }
    }
    return this.close(proposal, change);
  }

  /** A rejection excludes the sent transaction for good, because the head or the id has moved. */
  private async rejected(
    proposal: Proposal,
    change: ConfigurationChange,
  ): Promise<ConfigurationChange> {
    try {
      const before = await this.acceptedBefore(proposal);
      if (before !== undefined) return this.own(before, change);
      throw await this.stale(change.version);
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.Internal);
      if (failure.kind !== ErrorKind.TableUnavailable) throw failure;
      throw unconfirmed(failure);
    }
  }

  /**
   * Puts a tombstone in the change-id row, or finds the change accepted. This also follows a
   * failure that certainly had no effect, because an earlier submission with the same id may still.
   */
  private async close(
    proposal: Proposal,
    change: ConfigurationChange,
  ): Promise<ConfigurationChange> {
    const tombstone = changeIdPut(change.id, { state: "refused" });
    let failure: ServeError | undefined;
    for (let send = 0; send < SENDS; send += 1) {
      try {
        const result = await this.parts.table.transact([tombstone], nanoid());
        if (result.kind === "committed") throw notAccepted();
        const before = await this.acceptedBefore(proposal);
        if (before !== undefined) return this.own(before, change);
        throw ServeError.create(ErrorKind.Internal, `change id ${change.id} vanished`);
      } catch (error) {
        failure = ServeError.from(error, ErrorKind.TableUncertain);
        if (!isTableFailure(failure)) throw failure;
      }
    }
    throw unconfirmed(failure);
  }

  /** The change accepted under the id earlier; throws `ChangeNotAccepted` for a closed id. */
  private async acceptedBefore(proposal: Proposal): Promise<ConfigurationChange | undefined> {
    const { configurationHistory } = this.parts;
    const record = await configurationHistory.changeId(proposal.changeId);
    if (record === undefined) return undefined;
    if (record.state === "refused") throw notAccepted();
    const change = await configurationHistory.change(record.version);
    if (change === undefined) {
      throw ServeError.create(ErrorKind.Internal, `change ${record.version} is missing`);
    }
    const same = change.operator === proposal.operator;
    if (same && isDeepStrictEqual(change.updates, proposal.updates)) return change;
    const detail = `change id ${change.id} belongs to version ${change.version}`;
    throw ServeError.create(ErrorKind.ChangeNotAccepted, detail);
  }

  /** The in-memory change stands for its equal that was read back. */
  private own(read: ConfigurationChange, sent: ConfigurationChange): ConfigurationChange {
    return isDeepStrictEqual(read, sent) ? sent : read;
  }

  private async stale(version: number): Promise<ServeError> {
    const winner = await this.parts.configurationHistory.change(version);
    if (version > 1 && winner === undefined) {
      const detail = `version ${version - 1} is not the newest; read the configuration again`;
      return ServeError.create(ErrorKind.StaleBaseVersion, detail);
    }
    const by = winner === undefined ? "" : ` by ${winner.operator}, change id ${winner.id}`;
    const detail = `version ${version} is another change${by}`;
    return ServeError.create(ErrorKind.StaleBaseVersion, detail);
  }

  private announce(change: ConfigurationChange, next: Configuration): void {
    const { configurationView, peerChanges, updates } = this.parts;
    if (configurationView.adopt(next)) peerChanges.keep(change);
    updates.publish({ kind: "configuration", change });
  }
}

/** Reads that precede the first write cannot have had an effect. */
async function notAcceptedOnFailure<Result>(read: () => Promise<Result>): Promise<Result> {
  try {
    return await read();
  } catch (error) {
    const failure = ServeError.from(error, ErrorKind.Internal);
    throw failure.kind === ErrorKind.TableUnavailable ? unconfirmed(failure) : failure;
  }
}

function isTableFailure({ kind }: ServeError): boolean {
  return kind === ErrorKind.TableUnavailable || kind === ErrorKind.TableUncertain;
}

function notAccepted(): ServeError {
  return ServeError.create(ErrorKind.ChangeNotAccepted, "the change id is closed; use a new one");
}

function unconfirmed(cause: ServeError | undefined): ServeError {
  const detail = `ask again with the same change id: ${cause?.message ?? ""}`;
  return ServeError.create(ErrorKind.TableUncertain, detail, { cause });
}
