/** Exit codes of every command. */
export const EXIT_CODES = {
  ok: 0,
  /** The file has findings, or the change was refused. */
  refused: 1,
  /** The command line, the settings or the operator token is wrong. */
  usage: 2,
  /** No entry answered, and nothing was sent that could take effect. */
  unreachable: 3,
  /** A change was sent and its outcome is not known yet. */
  undecided: 4,
  /** An unexpected fault of the command itself. */
  internal: 70,
} as const;

/** One of {@link EXIT_CODES}. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
