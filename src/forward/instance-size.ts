/** Minimum cores of a large instance, as a fraction of those of the largest one. */
const MIN_LARGE_FRACTION = 0.5;

/** An instance and its size. */
export interface SizedInstance {
  readonly id: string;
  /** Processor cores that the instance may use; 0 if it did not say. */
  readonly cores: number;
}

/**
 * The instances with the size that is assumed of those that did not say: the smallest known one. All
 * instances then assume the same, however few they have heard of.
 */
export function withAssumedSizes<Item extends SizedInstance>(all: readonly Item[]): Item[] {
  const statedCores = all.map(({ cores }) => cores).filter((cores) => cores > 0);
  const assumedCores = statedCores.length === 0 ? 1 : Math.min(...statedCores);
  return all.map((each) => (each.cores > 0 ? each : { ...each, cores: assumedCores }));
}

/**
 * The instances with the most processor time, at least `least` of them. They take work for
 * the whole fleet that is more than a small instance can do beside its own.
 */
export function largeInstances<Item extends SizedInstance>(
  all: readonly Item[],
  minCount: number,
): Item[] {
  const bySize = [...all].sort((a, b) => b.cores - a.cores || (a.id < b.id ? -1 : 1));
  const minCores = MIN_LARGE_FRACTION * (bySize[0]?.cores ?? 0);
  return bySize.filter(({ cores }, index) => index < minCount || cores >= minCores);
}
