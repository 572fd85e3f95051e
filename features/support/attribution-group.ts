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
/** Time for updates to reach the other instances. */
const PROPAGATION_MS = 20;
/** Time after which concurrent claims have been decided. */
const CLAIM_DURATION_MS = 300;

/** Crash attribution of several instances, numbered from 1. */
export class AttributionGroup {
  readonly timers = ManualTimers.create();
  private readonly updates = MemoryUpdates.create(this.timers);
  private readonly instances: CrashSuspects[] = [];

  private constructor() {
    // Instances come from `create`.
  }

  static create(count: number): AttributionGroup {
    const group = new AttributionGroup();
    for (let instance = 1; instance <= count; instance += 1) group.startInstance(instance);
    return group;
  }

  /** Starts an instance without state; replaces one with the same number. */
  startInstance(instance: number): void {
    const id = `i${instance}`;
    this.updates.forget(id);
    const parts = {
      timers: this.timers,
      updates: this.updates.of(id),
      settings: { instance: { id } },
    };
    this.instances[instance - 1] = CrashSuspects.create(parts);
    this.of(instance).start();
  }

  of(instance: number): CrashSuspects {
    const found = this.instances[instance - 1];
    if (found === undefined) throw new Error(`no instance ${instance}`);
    return found;
  }

  /** Runs an attempt on a separate upstream; resolves after the updates have arrived. */
  async attempt(
    instance: number,
    text: string,
    alone: boolean,
    failure?: ServeError,
  ): Promise<void> {
    const content = contentOf(text);
    const upstream = `upstream of ${text} on ${instance}`;
    if (alone) {
      const { signal } = new AbortController();
      const claimed = this.of(instance).claim(content, SERVICE, upstream, TRIAL_MS, signal);
      await this.timers.advance(CLAIM_DURATION_MS);
      assert.equal(await claimed, true);
    }
    this.of(instance).track(content, SERVICE, upstream, alone).end(failure);
    await this.timers.advance(PROPAGATION_MS);
  }

  /** Crashes a shared upstream and then one on which the content runs alone. */
  async convict(instance: number, text: string): Promise<void> {
    await this.attempt(instance, text, false, crashError());
    await this.attempt(instance, text, true, crashError());
  }

  /** Claims the trial of a content on each instance at once; resolves with those that got it. */
  async claimConcurrently(text: string): Promise<number[]> {
    const { signal } = new AbortController();
    const claims = this.instances.map((suspects, i) =>
      suspects.claim(contentOf(text), SERVICE, `upstream-${i}`, TRIAL_MS, signal),
    );
    const results = Promise.allSettled(claims);
    await this.timers.advance(CLAIM_DURATION_MS);
    return (await results).flatMap(({ status }, i) => (status === "fulfilled" ? [i + 1] : []));
  }
}

/** The content with a text as its digest. */
export function contentOf(text: string): RequestContent {
  return { team: "branches", contentDigest: text };
}

/** The error of an attempt whose upstream crashed. */
export function crashError(undispatched = false): ServeError {
  return ServeError.create(ErrorKind.UpstreamCrashed, "the process ended", { undispatched });
}
