import type { ExitCode } from "./exit-code.js";

/** Ends a command with an exit code. */
export class ClientError extends Error {
  override readonly name = "ClientError";

  private constructor(
    readonly code: ExitCode,
    message: string,
    /** Kind of the problem document, if the instance sent one. */
    readonly kind: string | undefined,
  ) {
    super(message);
  }

  static create(code: ExitCode, message: string, kind?: string): ClientError {
    return new ClientError(code, message, kind);
  }
}
