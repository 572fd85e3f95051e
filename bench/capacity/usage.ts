import { readFile } from "node:fs/promises";

/** Clock ticks per second of the processor times in `/proc`; fixed in the kernel's interface. */
const TICKS_PER_SECOND = 100;
const KIB = 1_024;
/** Position of user time after the command name in `/proc/<pid>/stat`. */
const USER_TIME_FIELD = 11;

/** What a process has used since its start. */
export interface Usage {
  /** Processor time in seconds. */
  readonly cpuSeconds: number;
  /** Resident memory in bytes. */
  readonly residentBytes: number;
  /** Bytes read and written, sockets included. */
  readonly ioBytes: number;
}

/** Reads the usage of a process from `/proc`. */
export async function usageOf(pid: number): Promise<Usage> {
  const [stat, status, io] = await Promise.all(
    ["stat", "status", "io"].map((file) => readFile(`/proc/${pid}/${file}`, "utf8")),
  );
  // The command name in parentheses may hold spaces.
  const fields = (stat ?? "").slice((stat ?? "").lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: numberAfter(status ?? "", "VmRSS:") * KIB,
    ioBytes: numberAfter(io ?? "", "rchar:") + numberAfter(io ?? "", "wchar:"),
  };
}

function numberAfter(text: string, label: string): number {
  const at = text.indexOf(label);
  return Number.parseInt(text.slice(at + label.length).trim(), 10);
}
