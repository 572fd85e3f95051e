import type { Configuration } from "../src/configuration/configuration.js";
import type { Upstream } from "../src/configuration/configuration-document.js";
import type { RandomSource } from "../src/random/random-source.js";
import type { Timers } from "../src/time/timers.js";
import type { UpstreamClient } from "../src/upstream/upstream-client.js";
import type { UpstreamClients } from "../src/upstream/upstream-clients.js";
import { type ServiceName, services } from "./deployment.js";
import { FakeEngine } from "./fake-engine.js";
import { FakeService } from "./fake-service.js";
import type { FakeUpstream } from "./fake-upstream.js";
import { Fault } from "./scenario.js";

const STRAGGLER = 5;

/** The fake upstreams of a deployment; all instances share them. */
export class BenchFleet {
  /** Ids of requests of which any stage reached an upstream. */
  readonly started = new Set<string>();
  private readonly fakes = new Map<string, FakeUpstream>();

  private constructor(private readonly configuration: Configuration) {}

  static create(
    configuration: Configuration,
    timers: Timers,
    random: RandomSource,
    reportMs: number,
  ): BenchFleet {
    const fleet = new BenchFleet(configuration);
    for (const { id, service, slots } of configuration.document.upstreams) {
      const { ms } = services[service as ServiceName];
      const type = service === "advice" ? FakeEngine : FakeService;
      fleet.fakes.set(id, type.create(timers, random, slots, ms, reportMs));
    }
    return fleet;
  }

  of(upstream: Upstream): FakeUpstream {
    const fake = this.fakes.get(upstream.id);
    if (fake === undefined) throw new Error(`no fake upstream ${upstream.id}`);
    return fake;
  }

  /** The load reports as the real code reads them; a lost upstream reports nothing. */
  clients(): UpstreamClients {
    return {
      of: (upstream) => {
        const fake = this.of(upstream);
        const load = (): Promise<number> =>
          fake.lost ? Promise.reject(new Error("lost")) : Promise.resolve(fake.load());
        return { load } as unknown as UpstreamClient;
      },
      close: () => Promise.resolve(),
    };
  }

  inject(fault: Fault): void {
    const upstreams = this.configuration.document.upstreams;
    switch (fault) {
      case Fault.None:
        return;
      case Fault.Stragglers:
        for (const name of Object.keys(services)) {
          const first = this.configuration.upstreamsOf(name)[0];
          if (first !== undefined) this.of(first).slow(STRAGGLER);
        }
        return;
      case Fault.LostThird:
        for (const name of Object.keys(services)) {
          const group = this.configuration.upstreamsOf(name);
          for (const lost of group.slice(0, Math.round(group.length / 3))) this.of(lost).lose();
        }
        return;
      case Fault.LostEngines:
        for (const lost of this.configuration.upstreamsOf("advice")) this.of(lost).lose();
        return;
      case Fault.LostDataCentre:
        for (const lost of upstreams) if (lost.dataCentre === "dc-0") this.of(lost).lose();
    }
  }

  /** Slots of a service's upstreams that are not lost. */
  liveSlots(service: string): number {
    return this.configuration
      .upstreamsOf(service)
      .filter((upstream) => !this.of(upstream).lost)
      .reduce((sum, upstream) => sum + upstream.slots, 0);
  }

  /** Slot time used by a service, in ms. */
  busyMs(service: string): number {
    return this.configuration
      .upstreamsOf(service)
      .reduce((sum, upstream) => sum + this.of(upstream).busyMs, 0);
  }
}
