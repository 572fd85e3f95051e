import { type ConsolaInstance, type LogObject, createConsola } from "consola";
import type { LogOutput } from "./log-output.js";
import type { Settings } from "../settings/settings.js";

const LEVELS: Readonly<Record<Settings["log"]["level"], number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** Keys of a consola entry that are not fields of the line. */
const ENTRY_KEYS: ReadonlySet<string> = new Set(["date", "type", "args", "level", "tag"]);

/**
 * The process's log: JSON lines on standard output, or readable lines for a terminal. Lines go to
 * `output`, or are written at once without one.
 */
export function createLogger(
  parts: {
    settings: Pick<Settings, "log"> & { instance: Pick<Settings["instance"], "id"> };
  },
  output?: LogOutput,
): ConsolaInstance {
  const { log, instance } = parts.settings;
  const write = (text: string): void => {
    if (output === undefined) process.stdout.write(`${text}\n`);
    else output.line(text);
  };
  const line = log.format === "pretty" ? prettyLine : jsonLine;
  return createConsola({
    level: LEVELS[log.level],
    // Consola would otherwise drop lines that repeat a message within a second.
    throttle: 0,
    reporters: [
      {
        log: (entry) => {
          write(line(entry, instance.id));
        },
      },
    ],
  });
}

function jsonLine(entry: LogObject, instance: string): string {
  const { date, type } = entry;
  const head = { time: date.toISOString(), level: type, instance, message: messageOf(entry) };
  return JSON.stringify({ ...head, ...fieldsOf(entry) });
}

function prettyLine(entry: LogObject): string {
  const fields = Object.entries(fieldsOf(entry)).map(
    ([name, value]) => `${name}=${JSON.stringify(value)}`,
  );
  return [entry.date.toISOString(), entry.type, messageOf(entry), ...fields].join(" ");
}

function messageOf({ args }: LogObject): string {
  return args.map((argument) => String(argument)).join(" ");
}

/**
 * Consola moves the fields of an object with a `message` to the entry itself and leaves only the
 * message in the arguments.
 */
function fieldsOf(entry: LogObject): Record<string, unknown> {
  return Object.fromEntries(Object.entries(entry).filter(([key]) => !ENTRY_KEYS.has(key)));
}
