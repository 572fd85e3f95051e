import { writeFileSync } from "node:fs";

/** What a case sent, got and saw, with the time since its start; written to one file. */
export class CaseRecord {
  private readonly startedMs = Date.now();
  private readonly lines: string[] = [];

  private constructor(private readonly path: string) {}

  static create(path: string): CaseRecord {
    return new CaseRecord(path);
  }

  /** Time since the start in ms. */
  get nowMs(): number {
    return Date.now() - this.startedMs;
  }

  add(line: string): void {
    this.lines.push(`${(this.nowMs / 1_000).toFixed(3).padStart(8)} ${line}`);
  }

  write(): void {
    writeFileSync(this.path, `${this.lines.join("\n")}\n`);
  }
}
