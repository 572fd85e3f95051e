/** What a write requires of the row that it replaces. */
export type Expectation =
  | { readonly kind: "any" }
  | { readonly kind: "absent" }
  | { readonly kind: "version"; readonly version: number };
