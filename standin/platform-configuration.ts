/** A configuration as the operator writes it: one service, and one team that holds the keys. */
export function platformConfiguration(version: number, keys: readonly string[]): unknown {
  const route = {
    host: "a.example",
    "timeout-ms": 6_000,
    "target-latency-ms": 400,
    priority: 1,
    "max-attempts": 2,
    anonymous: false,
    service: "pool",
  };
  const stream = { ...route, kind: "streaming", service: "pool" };
  return {
    version,
    routes: [
      { ...route, name: "plain", prefix: "/plain/", kind: "idempotent" },
      { ...route, name: "once", prefix: "/once/", kind: "non_idempotent", "max-attempts": 1 },
      {
        ...stream,
        name: "staged",
        prefix: "/stream/staged/",
        stages: [{ service: "pool", after: [], bytes: 1_000 }],
      },
      {
        ...stream,
        name: "patient",
        prefix: "/stream/patient/",
        resumable: true,
        "itl-target-ms": 500,
      },
      { ...stream, name: "resumable", prefix: "/stream/resumable/", resumable: true },
    ],
    services: [
      {
        name: "pool",
        pieces: {
          slots: 1,
          queue: 2,
          batch: 4,
          "call-ms": 20,
          "item-ms": 1,
          "headroom-mb": 10,
          "handle-s": 4,
        },
      },
    ],
    tenants: [{ name: "team-1", "api-keys": keys, priority: 0 }],
    limits: { "max-body-bytes": 1_000_000, "idle-timeout-ms": 10_000 },
  };
}
