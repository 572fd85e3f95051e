/** A configuration as the operator writes it: a plain service and one tenant with a key. */
export function configuration(version: number, key: string): unknown {
  const route = {
    host: "a.example",
    service: "desk",
    "timeout-ms": 2_000,
    "target-latency-ms": 400,
    priority: 2,
    anonymous: false,
  };
  return {
    version,
    routes: [
      { ...route, name: "lookup", prefix: "/lookup/", kind: "idempotent", "max-attempts": 2 },
      { ...route, name: "charge", prefix: "/charge/", kind: "non_idempotent", "max-attempts": 1 },
    ],
    services: [{ name: "desk", "health-path": "/health" }],
    tenants: [{ name: "tenant-1", "api-keys": [key], priority: 0 }],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 1_000_000,
      "header-timeout-ms": 5_000,
      "idle-timeout-ms": 10_000,
    },
  };
}

/** One route of streams that may be resumed, with stages or without, before model replicas. */
export function streamConfiguration(
  version: number,
  key: string,
  timeoutMs: number,
  staged: boolean,
): unknown {
  const stages = staged ? [{ service: "prep", after: [], bytes: 8_000 }] : [];
  return {
    version,
    routes: [
      {
        ...{ name: "note", host: "a.example", prefix: "/note/", service: "llm" },
        ...{ kind: "streaming", resumable: true, "max-attempts": 2, priority: 1 },
        ...{ "timeout-ms": timeoutMs, "target-latency-ms": 2_000, "itl-target-ms": 250 },
        ...{ anonymous: false, affinity: true },
        ...(staged ? { stages } : {}),
      },
    ],
    services: [
      { name: "llm", "health-path": "/health", engine: { slots: 64 } },
      {
        name: "prep",
        "health-path": "/health",
        pieces: {
          ...{ slots: 1, queue: 2, batch: 12, "call-ms": 200, "item-ms": 14 },
          ...{ "headroom-mb": 27, "handle-s": 4, "link-mbps": 10_000 },
        },
      },
    ],
    tenants: [{ name: "tenant-1", "api-keys": [key], priority: 0 }],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 1_000_000,
      "header-timeout-ms": 5_000,
      "idle-timeout-ms": 10_000,
    },
  };
}
