import type { Formula, Operand, Term } from "./logic.js";

/** The values of all variables at one moment. */
export type State<Variable extends string> = Readonly<Record<Variable, Term>>;

/** A guarded atomic step; variables that `update` does not name keep their value. */
export interface Step<Variable extends string> {
  readonly name: string;
  readonly guard: (state: State<Variable>) => Formula;
  readonly update: (state: State<Variable>) => Partial<Record<Variable, Operand>>;
}

/** Something that must hold in every reachable state. */
export interface Property<Variable extends string> {
  readonly name: string;
  readonly holds: (state: State<Variable>) => Formula;
}

/** A small transition system with the properties that it must keep. */
export interface Specification<Variable extends string> {
  readonly name: string;
  readonly initial: Readonly<Record<Variable, number>>;
  readonly steps: readonly Step<Variable>[];
  readonly properties: readonly Property<Variable>[];
  /** Facts that make the properties inductive; they are proved together with them. */
  readonly lemmas: readonly Property<Variable>[];
}

/** A specification in which one rule is broken on purpose, and the property that must fail. */
export interface BrokenVariant<Variable extends string> {
  readonly specification: Specification<Variable>;
  readonly violated: string;
}

/** What `npm run check:model` checks of one protocol. */
export interface ModelSuite<Variable extends string> {
  readonly specification: Specification<Variable>;
  readonly broken: readonly BrokenVariant<Variable>[];
  /** Length in steps of the search for counterexamples. */
  readonly depth: number;
}
