// Checks the protocol models: prints what was proved and to which depth, and the counterexample of
// each variant that is broken on purpose. Exits 1 if a proof fails or a variant has none.
import { configurationSuite } from "./configuration/suite.js";
import { leaseSuite } from "./lease/suite.js";
import { ledgerSuite } from "./ledger/suite.js";
import { type Logic, createLogic } from "./logic.js";
import { shortestViolation, unprovedByInduction } from "./model-check.js";
import type { BrokenVariant, ModelSuite, Specification } from "./specification.js";
import { versionSuite } from "./version/suite.js";

const print = (line: string): void => void process.stdout.write(`${line}\n`);

async function checkSpecification<Variable extends string>(
  logic: Logic,
  specification: Specification<Variable>,
  depth: number,
): Promise<boolean> {
  const unproved = await unprovedByInduction(logic, specification);
  if (unproved === undefined) {
    for (const { name } of specification.properties) {
      print(`${specification.name}: proved for runs of any length: ${name}`);
    }
    return true;
  }
  print(`${specification.name}: not inductive: ${unproved}`);
  for (const property of specification.properties) {
    const trace = await shortestViolation(logic, specification, property, depth);
    print(
      trace === undefined
        ? `${specification.name}: no violation in ${depth} steps: ${property.name}`
        : `${specification.name}: VIOLATED: ${property.name}: ${trace.join("; ")}`,
    );
  }
  return false;
}

async function checkBroken<Variable extends string>(
  logic: Logic,
  { specification, violated }: BrokenVariant<Variable>,
  depth: number,
): Promise<boolean> {
  const property = specification.properties.find(({ name }) => name === violated);
  if (property === undefined)
    throw new Error(`${specification.name} has no property "${violated}"`);
  const trace = await shortestViolation(logic, specification, property, depth);
  print(
    trace === undefined
      ? `${specification.name}: NO COUNTEREXAMPLE in ${depth} steps`
      : `${specification.name}: counterexample to "${violated}": ${trace.join("; ")}`,
  );
  return trace !== undefined;
}

async function checkSuite<Variable extends string>(
  logic: Logic,
  suite: ModelSuite<Variable>,
): Promise<boolean> {
  let passed = await checkSpecification(logic, suite.specification, suite.depth);
  for (const variant of suite.broken) {
    passed = (await checkBroken(logic, variant, suite.depth)) && passed;
  }
  return passed;
}

const logic = await createLogic();
const results = [
  await checkSuite(logic, ledgerSuite),
  await checkSuite(logic, configurationSuite),
  await checkSuite(logic, leaseSuite),
  await checkSuite(logic, versionSuite),
];
const passed = results.every((result) => result);
print(passed ? "model check passed" : "model check failed");
// z3 keeps worker threads that would hold the process open.
process.exit(passed ? 0 : 1);
