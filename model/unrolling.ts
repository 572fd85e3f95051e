import type { BitVec, Model, Solver } from "z3-solver";
import { type Logic, type Term, WIDTH_BITS, constant, every, is, not, some } from "./logic.js";
import type { Property, Specification, State } from "./specification.js";

/** Width of the number that names a step. */
const CHOICE_BITS = 8;

/** A run that ends in a state which violates a property. */
export type Trace = readonly string[];

/** Successive states of a specification as solver terms. */
export class Unrolling<Variable extends string> {
  private readonly solver: Solver<"model">;
  private readonly states: State<Variable>[] = [];
  private readonly choices: BitVec<typeof CHOICE_BITS, "model">[] = [];
  private readonly variables: readonly Variable[];

  private constructor(
    private readonly logic: Logic,
    private readonly specification: Specification<Variable>,
  ) {
    this.solver = new logic.Solver("QF_FD");
    this.variables = Object.keys(specification.initial) as Variable[];
    this.addState();
  }

  static create<Name extends string>(
    logic: Logic,
    specification: Specification<Name>,
  ): Unrolling<Name> {
    return new Unrolling(logic, specification);
  }

  /** Requires that the first state is the initial one. */
  startAtInitial(): void {
    const { initial } = this.specification;
    for (const name of this.variables) this.solver.add(is(this.at(0)[name], initial[name]));
  }

  /** Appends one step and the state after it. */
  extend(): void {
    const from = this.last;
    this.addState();
    const choice = this.logic.BitVec.const(`step_${this.choices.length}`, CHOICE_BITS);
    this.choices.push(choice);
    const steps = this.specification.steps.map((step, at) => {
      const updates = step.update(from);
      const effects = this.variables.map((name) =>
        this.last[name].eq(this.term(updates[name]) ?? from[name]),
      );
      return every(choice.eq(this.logic.BitVec.val(at, CHOICE_BITS)), step.guard(from), ...effects);
    });
    this.solver.add(some(...steps));
  }

  /** Requires properties in the last state. */
  require(properties: readonly Property<Variable>[]): void {
    this.solver.add(...properties.map((property) => property.holds(this.last)));
  }

  /** A run whose last state violates the property, or undefined if there is none. */
  async violation(property: Property<Variable>): Promise<Trace | undefined> {
    this.solver.push();
    try {
      this.solver.add(not(property.holds(this.last)));
      const result = await this.solver.check();
      if (result === "unknown") throw new Error(`no verdict on ${property.name}`);
      return result === "sat" ? this.trace(this.solver.model()) : undefined;
    } finally {
      this.solver.pop();
    }
  }

  private trace(model: Model<"model">): Trace {
    return this.choices.map((choice) => {
      const at = Number(model.eval<typeof CHOICE_BITS>(choice).value());
      return this.specification.steps[at]?.name ?? "unknown step";
    });
  }

  private term(value: Term | number | undefined): Term | undefined {
    return typeof value === "number" ? constant(this.logic, value) : value;
  }

  private get last(): State<Variable> {
    return this.at(this.states.length - 1);
  }

  private at(position: number): State<Variable> {
    const state = this.states[position];
    if (state === undefined) throw new Error(`no state ${position}`);
    return state;
  }

  private addState(): void {
    const position = this.states.length;
    const entries = this.variables.map((name) => [
      name,
      this.logic.BitVec.const(`${name}_${position}`, WIDTH_BITS),
    ]);
    this.states.push(Object.fromEntries(entries) as State<Variable>);
  }
}
