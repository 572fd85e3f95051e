import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Bucket bounds in s, from a round trip within a data centre to the longest route timeout. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32];
const MS_PER_SECOND = 1_000;

/** How a call that is safe to repeat got its connection. */
export enum ConnectionUse {
  Opened = "opened",
  Reused = "kept",
  /** The upstream had already closed the idle connection. */
  Stale = "dropped",
}

/** Counters and latency histograms in the Prometheus text format. */
export class ForwardMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: "nutmegstage_requests_total",
    help: "Requests by route, status and outcome",
    labelNames: ["route", "status", "outcome"],
    registers: [this.registry],
  });
  private readonly latency = new Histogram({
    name: "nutmegstage_request_seconds",
    help: "Time to the end of the answer, by route",
    labelNames: ["route"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly firstEvent = new Histogram({
    name: "nutmegstage_first_event_seconds",
    help: "Time to the first event of a stream, by route",
    labelNames: ["route"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly attempts = new Counter({
    name: "nutmegstage_attempts_total",
    help: "Attempts at upstreams by service and end",
    labelNames: ["service", "end"],
    registers: [this.registry],
  });
  private readonly placements = new Counter({
    name: "nutmegstage_placements_total",
    help: "Requests sent to engines by service and reason of the choice",
    labelNames: ["service", "reason"],
    registers: [this.registry],
  });
  private readonly storeCalls = new Counter({
    name: "nutmegstage_store_calls_total",
    help: "Calls to the store by call and result",
    labelNames: ["call", "result"],
    registers: [this.registry],
  });

  private readonly sentUnderLimit = new Counter({
    name: "nutmegstage_sent_under_limit_total",
    help: "Requests, stage calls and releases sent to upstreams that state a limit, by service",
    labelNames: ["service", "kind"],
    registers: [this.registry],
  });
  private readonly sentWhileCold = new Counter({
    name: "nutmegstage_sent_while_cold_total",
    help: "Requests, stage calls and releases sent to cold upstreams, by service",
    labelNames: ["service", "kind"],
    registers: [this.registry],
  });
  private readonly warmupPermits = new Counter({
    name: "nutmegstage_warmup_permits_total",
    help: "Requests for permits of cold upstreams, by service and outcome",
    labelNames: ["service", "outcome"],
    registers: [this.registry],
  });
  private readonly withheld = new Counter({
    name: "nutmegstage_withheld_by_evacuation_total",
    help: "Requests, stage calls and releases not sent after the evacuation of the upstream, by service",
    labelNames: ["service", "kind"],
    registers: [this.registry],
  });
  private readonly evacuated = new Gauge({
    name: "nutmegstage_evacuated",
    help: "Whether an evacuation is in force at this instance, by data centre",
    labelNames: ["data_centre"],
    registers: [this.registry],
  });
  private readonly permits = new Counter({
    name: "nutmegstage_permits_total",
    help: "Requests for permits of upstreams that state a limit, by service and outcome",
    labelNames: ["service", "outcome"],
    registers: [this.registry],
  });
  private readonly connections = new Counter({
    name: "nutmegstage_upstream_connections_total",
    help: "Connections of stage calls and releases by use",
    labelNames: ["use"],
    registers: [this.registry],
  });

  private readonly partCrashes = new Counter({
    name: "nutmegstage_suspect_crashes_total",
    help: "Reports of upstreams that crashed as they began to respond, by service",
    labelNames: ["service"],
    registers: [this.registry],
  });
  private readonly partConvictions = new Gauge({
    name: "nutmegstage_convicted_prompt_parts",
    help: "Sets of prompt parts that are refused because they crash upstreams",
    registers: [this.registry],
  });
  private readonly streamRecords = new Counter({
    name: "nutmegstage_stream_records_total",
    help: "Streams whose software version this instance stored for all",
    registers: [this.registry],
  });
  private readonly resumptions = new Counter({
    name: "nutmegstage_resumptions_total",
    help: "Requests that resume a stream, by service and whether its software version serves",
    labelNames: ["service", "outcome"],
    registers: [this.registry],
  });
  private readonly relays = new Counter({
    name: "nutmegstage_relays_total",
    help: "Requests offered to another instance, as this one reached no upstream, by result",
    labelNames: ["result"],
    registers: [this.registry],
  });

  private readonly callerLosses = new Counter({
    name: "nutmegstage_caller_limited_total",
    help: "Requests refused and connections closed to bound memory and descriptors",
    labelNames: ["reason", "team"],
    registers: [this.registry],
  });
  private readonly loopDelay = new Histogram({
    name: "nutmegstage_loop_delay_seconds",
    help: "How late the process handles what is due, measured each 0.2 s",
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  private constructor() {
    // Use `create`.
  }

  static create(): ForwardMetrics {
    return new ForwardMetrics();
  }

  get contentType(): string {
    return this.registry.contentType;
  }

  render(): Promise<string> {
    return this.registry.metrics();
  }

  recordRequest(route: string, status: number, outcome: string, durationMs: number): void {
    this.requests.inc({ route, status: String(status), outcome });
    this.latency.observe({ route }, durationMs / MS_PER_SECOND);
  }

  recordFirstEvent(route: string, afterMs: number): void {
    this.firstEvent.observe({ route }, afterMs / MS_PER_SECOND);
  }

  recordAttempt(service: string, end: string): void {
    this.attempts.inc({ service, end });
  }

  recordPlacement(service: string, reason: string): void {
    this.placements.inc({ service, reason });
  }

  recordSentUnderLimit(service: string, kind: string): void {
    this.sentUnderLimit.inc({ service, kind });
  }

  recordWithheld(service: string, kind: string): void {
    this.withheld.inc({ service, kind });
  }

  setEvacuated(dataCentre: string, evacuated: boolean): void {
    this.evacuated.set({ data_centre: dataCentre }, evacuated ? 1 : 0);
  }

  recordPermit(service: string, outcome: string): void {
    this.permits.inc({ service, outcome });
  }

  recordSentWhileCold(service: string, kind: string): void {
    this.sentWhileCold.inc({ service, kind });
  }

  recordWarmupPermit(service: string, outcome: string): void {
    this.warmupPermits.inc({ service, outcome });
  }

  recordPartCrash(service: string): void {
    this.partCrashes.inc({ service });
  }

  setPartConvictions(count: number): void {
    this.partConvictions.set(count);
  }

  recordRelay(result: string): void {
    this.relays.inc({ result });
  }

  recordStreamRecords(count: number): void {
    this.streamRecords.inc(count);
  }

  recordResumption(service: string, outcome: string): void {
    this.resumptions.inc({ service, outcome });
  }

  recordLoopDelay(delayMs: number): void {
    this.loopDelay.observe(delayMs / MS_PER_SECOND);
  }

  recordCallerLoss(reason: string, team: string): void {
    this.callerLosses.inc({ reason, team });
  }

  recordConnectionUse(use: ConnectionUse): void {
    this.connections.inc({ use });
  }

  recordStoreCall(call: string, result: string): void {
    this.storeCalls.inc({ call, result });
  }
}
