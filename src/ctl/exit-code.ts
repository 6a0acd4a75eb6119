/** Exit codes of `oriolectl`; documented in docs/operators/oriolectl.md. */
export enum ExitCode {
  Success = 0,
  /** The command failed for a reason that no other code names. */
  Failed = 1,
  /** Unknown command or option, missing or malformed argument. */
  Usage = 2,
  /** Settings are not valid. Nothing was changed. */
  InvalidSettings = 3,
  /** Somebody changed the settings since they were read. Nothing was changed. */
  Conflict = 4,
  /** The key is unknown, or its scope does not cover the request. Nothing was changed. */
  Denied = 5,
  NotFound = 6,
  /** The log service or the daemon asked did not answer. Nothing was changed. */
  Unreachable = 7,
  /** Some daemons did not answer, or do not have the change in force yet. */
  Partial = 8,
  /** The command worked and found something: a difference, or an alert. */
  Finding = 9,
  /** A change was sent, but whether it took effect is not known. Look before repeating it. */
  OutcomeUnknown = 10,
}
