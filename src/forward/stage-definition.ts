/** Work that must be done before a request of a route can run. */
export interface StageDefinition {
  readonly service: string;
  /** Positions of the stages whose results it needs. */
  readonly after: readonly number[];
  /** Approximate size of one result in bytes. */
  readonly resultBytes: number;
}

/** Positions of the stages whose results no other stage needs; the engine gets these results. */
export function finalStages(stages: readonly StageDefinition[]): number[] {
  const needed = new Set(stages.flatMap(({ after }) => after));
  return stages.map((_, index) => index).filter((index) => !needed.has(index));
}
