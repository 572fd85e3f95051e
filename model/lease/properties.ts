import { is } from "../logic.js";
import type { Property } from "../specification.js";
import { type Variable } from "./state.js";

/** What must hold in every reachable state. */
export function properties(): Property<Variable>[] {
  return [
    {
      name: "no order takes effect after an order with a higher number",
      holds: (s) => is(s.stale, 0),
    },
  ];
}
