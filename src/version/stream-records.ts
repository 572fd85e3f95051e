import { rendezvousMembers } from "../order/rendezvous.js";
import { aliveMembers } from "../peer/alive-members.js";
import type { Members } from "../peer/members.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import type { RecordWriter } from "./record-writer.js";
import { type StreamRecord, streamRecordsSchema } from "./stream-record.js";

/** Instances that write records for all, so that the calls to the store do not grow with the fleet. */
const COLLECTORS = 4;
const COLLECTORS_KEY = "stream records";
/** Time limit of a collector; several writes. */
const COLLECT_TIMEOUT_MS = 500;

interface Parts {
  readonly self: string;
  readonly members: Members;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly recordWriter: Pick<RecordWriter, "write">;
}

/** Stores which software version began a stream, through a few instances that collect records. */
export class StreamRecords {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StreamRecords {
    return new StreamRecords(parts);
  }

  /** Registers as a collector. */
  start(): void {
    const { peerMethods, recordWriter } = this.parts;
    peerMethods.register(PeerMethod.StreamRecords, (params) =>
      recordWriter.write(streamRecordsSchema.parse(params)),
    );
  }

  /** Resolves with whether the record is stored. Never rejects. */
  async add(record: StreamRecord): Promise<boolean> {
    const { self, peerCalls, recordWriter } = this.parts;
    const collector = this.collectorOf(record);
    if (collector === self) return recordWriter.write([record]);
    try {
      const method = PeerMethod.StreamRecords;
      const stored = await peerCalls.call(collector, method, [record], COLLECT_TIMEOUT_MS);
      if (stored === true) return true;
    } catch {
      // The collector is gone or slow; a record that is stored twice does no harm.
    }
    return recordWriter.write([record]);
  }

  private collectorOf({ key }: StreamRecord): string {
    const { self, members } = this.parts;
    const instances = [self, ...aliveMembers(members).map(({ id }) => id)];
    const collectors = rendezvousMembers(COLLECTORS_KEY, instances, COLLECTORS);
    if (collectors.includes(self)) return self;
    return rendezvousMembers(key, collectors, 1)[0] ?? self;
  }
}
