import { readFileSync } from "node:fs";
import { totalmem } from "node:os";
import { getHeapStatistics } from "node:v8";

/** Part of the heap limit that bodies and responses may take; the rest is for the work itself. */
const HEAP_FRACTION = 0.25;
/** Part of the memory that the heads of all connections may take. */
const HEAD_FRACTION = 0.25;
/** Size of the largest head. */
const HEAD_BYTES = 65_536;
/** Memory of the runtime and its code outside the heap, as measured, with peers and updates. */
const RUNTIME_BYTES = 67_108_864;
const MIN_BUFFER_BYTES = 8_388_608;
/** Part of the descriptors for files, peers, the store, health checks and metrics. */
const RESERVED_FRACTION = 0.2;
/** Each request in progress has a connection of its caller and one to an upstream. */
const DESCRIPTORS_PER_REQUEST = 2;
const DEFAULT_DESCRIPTORS = 1_024;

/** What callers may take of the memory and descriptors of a process. */
export interface CallerShares {
  /** Bytes of bodies and responses together. */
  readonly bufferBytes: number;
  /** Open connections of callers. */
  readonly connections: number;
  /** Requests that may wait on one connection for the response to an earlier one. */
  readonly requestsAhead: number;
}

/** Limits of the process; those that are undefined are read from the system. */
export interface ProcessLimits {
  readonly memoryBytes?: number | undefined;
  readonly maxDescriptors?: number | undefined;
  readonly requestsAhead: number;
}

/** Divides the limits of the process, so that the sum of the shares stays below them. */
export function callerSharesOf(limits: ProcessLimits): CallerShares {
  const { memoryBytes = totalmem(), maxDescriptors = descriptorLimit() } = limits;
  const heapBytes = getHeapStatistics().heap_size_limit;
  const outsideHeap = Math.max(MIN_BUFFER_BYTES, memoryBytes - heapBytes - RUNTIME_BYTES);
  const byDescriptors = ((1 - RESERVED_FRACTION) * maxDescriptors) / DESCRIPTORS_PER_REQUEST;
  const byMemory = (HEAD_FRACTION * memoryBytes) / HEAD_BYTES;
  return {
    bufferBytes: Math.min(HEAP_FRACTION * heapBytes, outsideHeap),
    connections: Math.max(1, Math.floor(Math.min(byDescriptors, byMemory))),
    requestsAhead: limits.requestsAhead,
  };
}

function descriptorLimit(): number {
  try {
    const [, soft = ""] =
      /^Max open files\s+(\d+)/m.exec(readFileSync("/proc/self/limits", "utf8")) ?? [];
    return Number(soft) || DEFAULT_DESCRIPTORS;
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}
