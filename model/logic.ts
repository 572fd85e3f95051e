import { type BitVec, type Bool, type Context, init } from "z3-solver";

type Name = "model";

/**
 * Width of every variable in bits. Bit vectors keep the problems propositional, which the solver
 * decides within seconds; with unbounded integers it ran out of memory.
 */
export const WIDTH_BITS = 5;

/** A term that takes values from 0 to 31. */
export type Term = BitVec<typeof WIDTH_BITS, Name>;

/** A term or the number of a constant. */
export type Operand = Term | number;

/** A truth-valued term. */
export type Formula = Bool<Name>;

/** The solver context in which all terms of a run are built. */
export type Logic = Context<Name>;

/** A registry that never releases anything. */
class IdleRegistry<Held> implements FinalizationRegistry<Held> {
  readonly [Symbol.toStringTag] = "FinalizationRegistry";

  register(): void {
    // Terms live until the process ends.
  }

  unregister(): boolean {
    return false;
  }
}

/**
 * Loads z3. The solver runs on a worker thread; its binding would release collected terms from the
 * main thread at the same time, which corrupts the solver's memory, so releasing is switched off.
 */
export async function createLogic(): Promise<Logic> {
  const { Context: createContext } = await init();
  const registry = globalThis.FinalizationRegistry;
  globalThis.FinalizationRegistry = IdleRegistry;
  try {
    return createContext("model");
  } finally {
    globalThis.FinalizationRegistry = registry;
  }
}

/** The constant term of a number. */
export function constant(logic: Logic, value: number): Term {
  return logic.BitVec.val(value, WIDTH_BITS);
}

function lifted(logic: Logic, operand: Operand): Term {
  return typeof operand === "number" ? constant(logic, operand) : operand;
}

/** Whether two values are equal. */
export function is(term: Term, other: Operand): Formula {
  return term.eq(lifted(term.ctx, other));
}

/** Whether a term is less than a value. */
export function below(term: Term, other: Operand): Formula {
  return term.ult(lifted(term.ctx, other));
}

/** Whether a term is at most a value. */
export function atMost(term: Term, other: Operand): Formula {
  return term.ule(lifted(term.ctx, other));
}

/** The sum of two values. */
export function plus(term: Term, other: Operand): Term {
  return term.add(lifted(term.ctx, other));
}

/** `then` where the condition holds, `otherwise` elsewhere. */
export function choose(condition: Formula, then: Operand, otherwise: Operand): Term {
  const { ctx } = condition;
  return ctx.If<Term, Term>(condition, lifted(ctx, then), lifted(ctx, otherwise));
}

/** Conjunction of at least one formula. */
export function every(...formulas: Formula[]): Formula {
  return formulas.reduce((left, right) => left.and(right));
}

/** Disjunction of at least one formula. */
export function some(...formulas: Formula[]): Formula {
  return formulas.reduce((left, right) => left.or(right));
}

export function not(formula: Formula): Formula {
  return formula.not();
}

export function implies(condition: Formula, consequence: Formula): Formula {
  return condition.implies(consequence);
}
