/** Exit codes of `nutmegstage`. */
export enum ExitCode {
  Ok = 0,
  /** The instance refused the command; the reason is printed. */
  Refused = 1,
  /** The command line or an input file is wrong. */
  Usage = 2,
  /** It is not known whether the change was accepted; its change id is printed. */
  Uncertain = 3,
  /** The instance can't be reached or is not able to answer now. */
  Unavailable = 4,
  /** Another change was accepted on the base version. */
  StaleBaseVersion = 5,
  /** The change was accepted, but not all instances had it in time. */
  NotEverywhere = 6,
}
