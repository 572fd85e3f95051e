import assert from "node:assert/strict";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import type { RequestContent } from "../../src/routing/request-content.js";
import { CrashSuspects } from "../../src/routing/crash-suspects.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { MemoryUpdates } from "./memory-updates.js";

/** Service of all upstreams of the group. */
export const SERVICE = "retriever";
const TRIAL_MS = 3_000;
/** Time for updates to reach the other instance. */
const PROPAGATION_MS = 20;
const SETTLE_MS = 300;

/** Crash attribution of several instances, numbered from 1. */
export class AttributionGroup {
  readonly timers = ManualTimers.create();
  private readonly updates = MemoryUpdates.create(this.timers);
  private readonly suspects: CrashSuspects[] = [];

  private constructor() {
    // Instances come from `create`.
  }

  static create(count: number): AttributionGroup {
    const group = new AttributionGroup();
    for (let at = 1; at <= count; at += 1) group.add(at);
    return group;
  }

  /** Starts an instance without state; replaces one with the same number. */
  add(at: number): void {
    const id = `i${at}`;
    this.updates.forget(id);
    const parts = {
      timers: this.timers,
      updates: this.updates.of(id),
      settings: { instance: { id } },
    };
    this.suspects[at - 1] = CrashSuspects.create(parts);
    this.of(at).start();
  }

  of(at: number): CrashSuspects {
    const found = this.suspects[at - 1];
    if (found === undefined) throw new Error(`no instance ${at}`);
    return found;
  }

  /** Ends an attempt on an upstream of its own; returns after the updates have arrived. */
  async attempt(at: number, text: string, alone: boolean, failure?: ServeError): Promise<void> {
    const content = contentOf(text);
    const upstream = `upstream of ${text} on ${at}`;
    if (alone) {
      const { signal } = new AbortController();
      const claimed = this.of(at).claim(content, SERVICE, upstream, TRIAL_MS, signal);
      await this.timers.advance(SETTLE_MS);
      assert.equal(await claimed, true);
    }
    this.of(at).track(content, SERVICE, upstream, alone).end(failure);
    await this.timers.advance(PROPAGATION_MS);
  }

  /** Crashes a shared upstream and then one on which the content runs alone. */
  async convict(at: number, text: string): Promise<void> {
    await this.attempt(at, text, false, crash());
    await this.attempt(at, text, true, crash());
  }

  /** Claims the trial of a content on each instance at once; returns the instances that got it. */
  async claimTogether(text: string): Promise<number[]> {
    const { signal } = new AbortController();
    const claims = this.suspects.map((one, at) =>
      one.claim(contentOf(text), SERVICE, `upstream-${at}`, TRIAL_MS, signal),
    );
    const ends = Promise.allSettled(claims);
    await this.timers.advance(SETTLE_MS);
    return (await ends).flatMap(({ status }, at) => (status === "fulfilled" ? [at + 1] : []));
  }
}

/** The content with a text as its digest. */
export function contentOf(text: string): RequestContent {
  return { team: "branches", contentDigest: text };
}

/** The error of an attempt whose upstream crashed. */
export function crash(undispatched = false): ServeError {
  return ServeError.create(ErrorKind.UpstreamCrashed, "the process ended", { undispatched });
}
