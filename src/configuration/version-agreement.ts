import { z } from "zod";
import type { Members } from "../peer/members.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import type { PeerVersions } from "../peer/peer-versions.js";
import { ringPosition } from "../peer/ring.js";
import type { Settings } from "../settings/settings.js";
import type { Timers } from "../time/timers.js";
import type { ConfigurationView } from "./configuration-view.js";

/** Ages are sent in this many steps of the bound, one byte each. */
const AGE_STEPS = 250;
const ENTRY_BYTES = 3;
const KEY_DIGITS = 4;
const HEX = 16;
/** Far above the 1,500 bytes of a fleet of 370 members. */
const MOST_TEXT = 16_384;

const answerSchema = z.object({
  version: z.number().int().nonnegative(),
  /** Time since an instance with that version read the head row, in ms. */
  readMs: z.number().nonnegative().optional(),
  /** Members that reported no higher version: two bytes of the ring position and one of the age. */
  agreed: z.base64().max(MOST_TEXT),
});

type Answer = z.output<typeof answerSchema>;

interface Parts {
  readonly timers: Timers;
  readonly settings: Settings;
  readonly members: Members;
  readonly peerVersions: PeerVersions;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly configurationView: ConfigurationView;
}

/**
 * When members last reported a version that is not above the one in force here, and when an
 * instance with such a version last read the head row. Heartbeats of a large fleet reach a few
 * members only, so instances also ask each other for what they know. Times are counted from before
 * the question, on the clock of the asking instance, so that a late message is never taken as fresh.
 */
export class VersionAgreement {
  private headRead = Number.NEGATIVE_INFINITY;
  /** Times of reports that others passed on, by key. */
  private readonly passedOn = new Map<number, number>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): VersionAgreement {
    const agreement = new VersionAgreement(parts);
    parts.peerMethods.register(PeerMethod.ConfigurationAgreement, () =>
      Promise.resolve(agreement.answer()),
    );
    return agreement;
  }

  /** Time at which the head row was last known to hold no version above the one in force here. */
  get readTime(): number {
    return this.headRead;
  }

  /** Records that the head read at `time`, on the monotonic clock, is in force here. */
  confirmed(time: number): void {
    this.headRead = Math.max(this.headRead, time);
  }

  /** Other known members, dead ones included, that agreed with the version within the bound. */
  agreeing(): number {
    return [...this.times().values()].filter((time) => time >= this.oldest()).length;
  }

  /** Takes over what an instance knows; returns its version. Throws `PeerUnavailable`. */
  async ask(instance: string): Promise<number> {
    const { timers, peerCalls, configurationView } = this.parts;
    const start = timers.now();
    const method = PeerMethod.ConfigurationAgreement;
    const timeoutMs = this.boundMs / 4;
    const answer = answerSchema.parse(await peerCalls.call(instance, method, {}, timeoutMs));
    // What agrees with a higher version says nothing of the one in force here.
    if (answer.version > 0 && answer.version <= configurationView.version) this.take(answer, start);
    return answer.version;
  }

  private answer(): Answer {
    const { timers, configurationView, members } = this.parts;
    const now = timers.now();
    const stepMs = this.boundMs / AGE_STEPS;
    const bytes = [...entryOf(keyOf(members.self), 0)];
    for (const [key, time] of this.times()) {
      if (time >= this.oldest()) bytes.push(...entryOf(key, Math.ceil((now - time) / stepMs)));
    }
    const readMs = now - this.headRead;
    return {
      version: configurationView.version,
      ...(readMs <= this.boundMs ? { readMs } : {}),
      agreed: Buffer.from(bytes).toString("base64"),
    };
  }

  private take({ agreed, readMs }: Answer, start: number): void {
    if (readMs !== undefined) this.confirmed(start - readMs);
    const bytes = Buffer.from(agreed, "base64");
    const stepMs = this.boundMs / AGE_STEPS;
    for (let at = 0; at + ENTRY_BYTES <= bytes.length; at += ENTRY_BYTES) {
      const key = bytes.readUInt16BE(at);
      const time = start - bytes.readUInt8(at + 2) * stepMs;
      this.passedOn.set(key, Math.max(time, this.passedOn.get(key) ?? time));
    }
    for (const [key, time] of this.passedOn) {
      if (time < this.oldest()) this.passedOn.delete(key);
    }
  }

  /** Latest reports of the other known members by key; members that share a key are left out. */
  private times(): Map<number, number> {
    const { timers, members, peerVersions, configurationView } = this.parts;
    const now = timers.now();
    const direct = new Map<string, number>();
    for (const { instance, version, ageMs } of peerVersions.versions()) {
      if (version <= configurationView.version) direct.set(instance, now - ageMs);
    }
    const times = new Map<number, number>();
    const seen = new Set([keyOf(members.self)]);
    for (const { id } of members.all()) {
      const key = keyOf(id);
      const passedOn = this.passedOn.get(key) ?? Number.NEGATIVE_INFINITY;
      if (seen.has(key)) times.delete(key);
      else times.set(key, Math.max(passedOn, direct.get(id) ?? Number.NEGATIVE_INFINITY));
      seen.add(key);
    }
    return times;
  }

  private oldest(): number {
    return this.parts.timers.now() - this.boundMs;
  }

  private get boundMs(): number {
    return this.parts.settings.bounds.configurationMs;
  }
}

function keyOf(id: string): number {
  return Number.parseInt(ringPosition(id).slice(0, KEY_DIGITS), HEX);
}

function entryOf(key: number, age: number): number[] {
  return [key >>> 8, key & 0xff, Math.min(AGE_STEPS + 1, age)];
}
