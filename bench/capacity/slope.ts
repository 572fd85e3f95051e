/** A straight line fitted through measured points. */
export interface Slope {
  /** Value at zero. */
  readonly base: number;
  /** Growth per unit. */
  readonly perUnit: number;
}

/** Least-squares line through points of size and value; needs two different sizes. */
export function slopeOf(points: readonly (readonly [size: number, value: number])[]): Slope {
  const count = points.length;
  const meanSize = points.reduce((sum, [size]) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, [, value]) => sum + value, 0) / count;
  const spread = points.reduce((sum, [size]) => sum + (size - meanSize) ** 2, 0);
  const joint = points.reduce(
    (sum, [size, value]) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const perUnit = joint / spread;
  return { base: meanValue - perUnit * meanSize, perUnit };
}

/** The value that a line predicts at a size. */
export function valueAt(slope: Slope, size: number): number {
  return slope.base + slope.perUnit * size;
}
