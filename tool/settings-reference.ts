// Writes docs/SETTINGS.md from the settings schema; with --check it exits 1 if the file differs.
import { readFile, writeFile } from "node:fs/promises";
import { z } from "zod";
import { settingsSchema } from "../src/settings/settings.js";

const FILE = "docs/SETTINGS.md";
const HEAD = `# Settings

The settings file of a daemon is one JSON object. Unknown keys are refused. Generated from the
schema by \`npm run docs:settings\`.

| setting | type | default | meaning |
| --- | --- | --- | --- |
`;

interface Node {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, Node>>;
  readonly items?: Node;
  readonly enum?: readonly unknown[];
  readonly default?: unknown;
  readonly description?: string;
  readonly minimum?: number;
  readonly exclusiveMinimum?: number;
  readonly maximum?: number;
}

function rows(node: Node, path: string): string[] {
  const own = node.description === undefined ? [] : [row(node, path)];
  const inner = Object.entries(node.properties ?? {}).flatMap(([name, child]) =>
    rows(child, path === "" ? name : `${path}.${name}`),
  );
  return [...own, ...inner, ...(node.items === undefined ? [] : rows(node.items, `${path}[]`))];
}

function row(node: Node, path: string): string {
  const value = node.default === undefined ? "required" : `\`${JSON.stringify(node.default)}\``;
  return `| \`${path}\` | ${kindOf(node)} | ${value} | ${node.description ?? ""} |`;
}

function kindOf({ type = "string", enum: values, ...node }: Node): string {
  if (values !== undefined) return values.map((value) => `\`${String(value)}\``).join(", ");
  const least = node.minimum ?? node.exclusiveMinimum;
  const bounded = node.maximum !== undefined && node.maximum < Number.MAX_SAFE_INTEGER;
  const range = [
    ...(least === undefined || least < 0 ? [] : [`from ${least}`]),
    ...(bounded ? [`to ${node.maximum}`] : []),
  ];
  return [type, ...range].join(" ");
}

const schema = z.toJSONSchema(settingsSchema, { io: "input" }) as Node;
const text = `${HEAD}${rows(schema, "").join("\n")}\n`;
if (process.argv.includes("--check")) {
  const same = (await readFile(FILE, "utf8")) === text;
  process.stdout.write(same ? `${FILE} is up to date\n` : `${FILE} differs from the schema\n`);
  process.exitCode = same ? 0 : 1;
} else {
  await writeFile(FILE, text);
}
