import { type ConsolaInstance, type LogObject, createConsola } from "consola";
import type { Settings } from "../settings/settings.js";

const LEVELS: Readonly<Record<Settings["log"]["level"], number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** The process's log: JSON lines on standard output, or readable lines on a terminal. */
export function createLogger(parts: { settings: Settings }): ConsolaInstance {
  const { log, instance } = parts.settings;
  const level = LEVELS[log.level];
  if (log.format === "pretty") return createConsola({ level });
  return createConsola({
    level,
    reporters: [{ log: (entry) => process.stdout.write(`${jsonLine(entry, instance.id)}\n`) }],
  });
}

function jsonLine(entry: LogObject, instance: string): string {
  const fields = entry.args.map((argument) =>
    typeof argument === "object" && !(argument instanceof Error)
      ? (argument as object)
      : { message: String(argument) },
  );
  const head = { time: entry.date.toISOString(), level: entry.type, instance };
  return JSON.stringify(Object.assign(head, ...fields));
}
