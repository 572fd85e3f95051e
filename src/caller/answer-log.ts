import { LRUCache } from "lru-cache";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Settings } from "../settings/settings.js";
import { AnswerRecord } from "./answer-record.js";

/** Bytes charged for a record beside its text. */
const RECORD_OVERHEAD_BYTES = 2_048;

/** The answers held by this instance: those in progress, and finished ones for a documented time. */
export class AnswerLog {
  private readonly running = new Map<string, AnswerRecord>();
  private readonly finished: LRUCache<string, AnswerRecord>;
  private readCount = 0;

  private constructor(settings: Settings) {
    this.finished = new LRUCache({
      maxSize: settings.limits.answerBytes,
      sizeCalculation: (record) => record.bytes + RECORD_OVERHEAD_BYTES,
      ttl: settings.bounds.answerRetentionMs,
    });
  }

  static create(parts: { settings: Settings }): AnswerLog {
    return new AnswerLog(parts.settings);
  }

  /** Number of answers in progress. */
  get inProgress(): number {
    return this.running.size;
  }

  /** Number of finished answers that can be read. */
  get readable(): number {
    return this.finished.size;
  }

  /** Number of reads so far by callers, directly or through other instances. */
  get reads(): number {
    return this.readCount;
  }

  start(request: string, team: string): AnswerRecord {
    const record = AnswerRecord.create(request, team);
    this.running.set(request, record);
    return record;
  }

  /** Moves a finished answer to the bounded part of the log. */
  retire(record: AnswerRecord): void {
    this.running.delete(record.request);
    this.finished.set(record.request, record);
  }

  find(request: string): AnswerRecord | undefined {
    return this.running.get(request) ?? this.finished.get(request);
  }

  /**
   * The answer of a team's own request. Throws the same `UnknownRequest` for an unknown request and
   * for one of another team, so that ids can't be probed.
   */
  owned(request: string, team: string): AnswerRecord {
    const record = this.find(request);
    if (record?.team === team) {
      this.readCount += 1;
      return record;
    }
    throw ServeError.create(ErrorKind.UnknownRequest, `no request "${request}"`);
  }
}
