/** Minimum cores of a large instance, as a fraction of the cores of the largest one. */
const MIN_LARGE_FRACTION = 0.5;

/** An instance and its size. */
export interface SizedInstance {
  readonly id: string;
  /** Processor cores that the instance may use; 0 if unknown. */
  readonly cores: number;
}

/**
 * Replaces unknown sizes by the smallest known one, or by one core if none is known. All instances
 * thus assume the same size, however few others they know of.
 */
export function withAssumedSizes<Item extends SizedInstance>(all: readonly Item[]): Item[] {
  const statedCores = all.map(({ cores }) => cores).filter((cores) => cores > 0);
  const assumedCores = statedCores.length === 0 ? 1 : Math.min(...statedCores);
  return all.map((each) => (each.cores > 0 ? each : { ...each, cores: assumedCores }));
}

/**
 * The instances with the most processor cores, at least `minCount` of them if there are as many.
 * They take work for the whole fleet, which would overload a small instance beside its own work.
 */
export function largeInstances<Item extends SizedInstance>(
  all: readonly Item[],
  minCount: number,
): Item[] {
  const bySize = [...all].sort((a, b) => b.cores - a.cores || (a.id < b.id ? -1 : 1));
  const minCores = MIN_LARGE_FRACTION * (bySize[0]?.cores ?? 0);
  return bySize.filter(({ cores }, index) => index < minCount || cores >= minCores);
}
