import type { GenerateRequest } from "../../src/upstream/generate-request.js";
import type { Token } from "../../src/upstream/token.js";
import { StageHarness } from "./stage-harness.js";

const MAX_RUN_MS = 4_000;

/** Runs stages on fake upstreams of which one may be slow. */
export class SlowUpstreams {
  slow:
    { readonly upstream: string; readonly ms: number; readonly afterFirst: boolean } | undefined;
  /** Whether upstreams answer even after they were cancelled. */
  ignoresCancellation = false;
  /** Time to the answer in ms and the upstreams of the attempts, for each request. */
  runs: { readonly ms: number; readonly attempts: readonly string[] }[] = [];
  readonly harness: StageHarness = StageHarness.create({
    call: async (upstream, signal) => {
      await this.wait(upstream, false, signal);
      return { documents: [] };
    },
    generate: (request, upstream, signal) => this.stream(request, upstream, signal),
  });

  private constructor(public usualMs: number) {}

  static create(usualMs: number): SlowUpstreams {
    return new SlowUpstreams(usualMs);
  }

  async run(pipeline: string): Promise<void> {
    const { timers, attempts } = this.harness;
    const [start, sentBefore] = [timers.now(), attempts.length];
    let end: number | undefined;
    const run = this.harness.run(pipeline).then(() => {
      end = timers.now();
    });
    while (end === undefined && timers.now() < start + MAX_RUN_MS) await timers.advance(1);
    await run;
    this.runs.push({ ms: timers.now() - start - 1, attempts: attempts.slice(sentBefore) });
    // Lets attempts that ignored their cancellation finish.
    if (this.ignoresCancellation) await timers.advance(MAX_RUN_MS);
  }

  private async *stream(
    request: GenerateRequest,
    upstream: string,
    signal: AbortSignal,
  ): AsyncGenerator<Token> {
    await this.wait(upstream, false, signal);
    for (let index = request.receivedTokens; index < request.maxTokens; index += 1) {
      yield { index, text: ` w${index}` };
      if (index === 0) await this.wait(upstream, true, signal);
    }
  }

  private async wait(upstream: string, began: boolean, signal: AbortSignal): Promise<void> {
    const { slow } = this;
    const usual = began ? 0 : this.usualMs;
    const ms = slow?.upstream === upstream && slow.afterFirst === began ? slow.ms : usual;
    await this.harness.timers.sleep(ms, this.ignoresCancellation ? undefined : signal);
  }
}
