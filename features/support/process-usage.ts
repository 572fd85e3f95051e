import { readFile, readdir } from "node:fs/promises";

const KIBIBYTE = 1_024;

/** The most memory and descriptors that a process has used. */
export class ProcessUsage {
  private descriptors = 0;
  private resident = 0;

  private constructor(private readonly pid: number) {}

  static create(pid: number): ProcessUsage {
    return new ProcessUsage(pid);
  }

  /** The most descriptors that were open at a measurement. */
  get mostDescriptors(): number {
    return this.descriptors;
  }

  /** The most resident memory at any time, in bytes. */
  get mostResidentBytes(): number {
    return this.resident;
  }

  /** Measures once; a process that has ended keeps its figures. */
  async measure(): Promise<void> {
    try {
      const open = await readdir(`/proc/${this.pid}/fd`);
      this.descriptors = Math.max(this.descriptors, open.length);
      const status = await readFile(`/proc/${this.pid}/status`, "utf8");
      const [, kilobytes = "0"] = /^VmHWM:\s*(\d+) kB$/m.exec(status) ?? [];
      this.resident = Math.max(this.resident, Number(kilobytes) * KIBIBYTE);
    } catch {
      // The process has ended.
    }
  }
}
