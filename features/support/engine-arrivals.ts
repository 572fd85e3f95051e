const MS_PER_SECOND = 1_000;

/** A request that reached an engine. */
export interface EngineArrival {
  readonly atMs: number;
  readonly id: string;
  readonly cold: boolean;
}

/** The most requests that a cold engine got in any second. */
export function mostWhileCold(arrivals: readonly EngineArrival[]): number {
  let most = 0;
  for (const id of new Set(arrivals.map((each) => each.id))) {
    const times = arrivals.filter((each) => each.id === id && each.cold);
    times.forEach(({ atMs }, last) => {
      const first = times.findIndex((each) => each.atMs > atMs - MS_PER_SECOND);
      most = Math.max(most, last - first + 1);
    });
  }
  return most;
}
