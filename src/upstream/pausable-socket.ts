import { Socket } from "node:net";

/**
 * A socket that stops to receive on request, whoever reads from it. The HTTP client must not be
 * paused instead: it ends the process if the connection ends meanwhile.
 */
export class PausableSocket extends Socket {
  private receivingPaused = false;
  private readPending = false;

  /** Receives at most what the system has handed over already; the rest stays with the system. */
  pauseReceiving(): void {
    this.receivingPaused = true;
  }

  resumeReceiving(): void {
    this.receivingPaused = false;
    if (!this.readPending) return;
    this.readPending = false;
    super._read(0);
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    return super.push(chunk, encoding) && !this.receivingPaused;
  }

  override _read(size: number): void {
    if (this.receivingPaused) this.readPending = true;
    else super._read(size);
  }
}
