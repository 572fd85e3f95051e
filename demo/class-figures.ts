/** What callers of one class received. */
export interface ClassFigures {
  readonly className: string;
  readonly sent: number;
  /** Requests with a whole answer. */
  readonly whole: number;
  readonly medianMs: number;
  readonly slowestMs: number;
}

/** One request of the demo. */
export interface DemoRequest {
  readonly className: string;
  readonly whole: boolean;
  readonly durationMs: number;
}

/** Figures of each class, in the order of first appearance. */
export function classFigures(requests: readonly DemoRequest[]): ClassFigures[] {
  const names = [...new Set(requests.map((request) => request.className))];
  return names.map((className) => {
    const own = requests.filter((request) => request.className === className);
    const times = own.map((request) => request.durationMs).toSorted((a, b) => a - b);
    return {
      className,
      sent: own.length,
      whole: own.filter((request) => request.whole).length,
      medianMs: times[Math.floor(times.length / 2)] ?? 0,
      slowestMs: times.at(-1) ?? 0,
    };
  });
}
