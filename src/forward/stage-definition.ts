/** A step of work that must be done before the engine can run a request of a route. */
export interface StageDefinition {
  readonly service: string;
  /** Indexes of the stages whose results this one needs. */
  readonly after: readonly number[];
  /** Approximate size of one result in bytes. */
  readonly resultBytes: number;
}

/** Indexes of the stages whose results no other stage needs; the engine gets these results. */
export function finalStages(stages: readonly StageDefinition[]): number[] {
  const needed = new Set(stages.flatMap(({ after }) => after));
  return stages.map((_, index) => index).filter((index) => !needed.has(index));
}
