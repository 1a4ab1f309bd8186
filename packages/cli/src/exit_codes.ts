/** Exit codes of every command. */
export const EXIT_CODES = {
  ok: 0,
  /**
   * The file has errors, the change was refused, the entries disagree or do not
   * all answer (`rules status`), no version is chosen (`explain`), or the logs
   * do not contain the request (`trace`).
   */
  refused: 1,
  /** The command line, the settings or the operator token is wrong. */
  usage: 2,
  /** No entry answered, and no change of the rules was sent. */
  unreachable: 3,
  /** A change was sent and its outcome is not known yet. */
  undecided: 4,
  /** An unexpected error in the command itself. */
  internal: 70,
} as const;

/** One of {@link EXIT_CODES}. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
