/** Shares `capacity` among demands so that no smaller share could grow without a larger one. */
export function maxMin(
  demands: ReadonlyMap<string, number>,
  capacity: number,
): ReadonlyMap<string, number> {
  const shares = new Map<string, number>();
  let rest = capacity;
  let waiting = demands.size;
  for (const [key, demand] of [...demands].sort((a, b) => a[1] - b[1])) {
    const share = Math.min(demand, rest / waiting);
    shares.set(key, share);
    rest -= share;
    waiting -= 1;
  }
  return shares;
}
