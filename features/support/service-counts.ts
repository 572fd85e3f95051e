/** Reads "encoder 1, advice 2" as upstreams per service. */
export function serviceCounts(text: string): Record<string, number> {
  const counts = text.split(", ").map((part) => {
    const [name = "", count] = part.split(" ");
    return [name, Number(count)] as const;
  });
  return Object.fromEntries(counts);
}
