/** The tool's exit codes. @public */
export const EXIT_CODE = {
  ok: 0,
  failed: 1,
  usage: 2,
  /** A change was not accepted, for example because its base is outdated. */
  rejected: 3,
  /** The outcome of a change could not be determined. */
  unknown: 4,
  /** A change was accepted, but not all instances applied it in time. */
  notInForce: 5,
} as const;

/** One of the exit codes. @public */
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

/** The errors that the tool reports. @public */
export type ToolError =
  | {readonly kind: 'usage'; readonly message: string}
  | {readonly kind: 'file_invalid'; readonly message: string}
  | {readonly kind: 'settings_invalid'; readonly message: string}
  | {readonly kind: 'log_unavailable'; readonly message: string}
  | {readonly kind: 'instance_unreachable'; readonly message: string}
  | {readonly kind: 'change_rejected'; readonly message: string}
  | {readonly kind: 'change_unknown'; readonly message: string}
  | {readonly kind: 'not_in_force'; readonly message: string}
  | {readonly kind: 'request_unknown'; readonly message: string};

/** The exit code of each error. @public */
export const EXIT_CODE_BY_ERROR: Readonly<Record<ToolError['kind'], ExitCode>> =
  {
    usage: EXIT_CODE.usage,
    file_invalid: EXIT_CODE.usage,
    settings_invalid: EXIT_CODE.usage,
    log_unavailable: EXIT_CODE.failed,
    instance_unreachable: EXIT_CODE.failed,
    change_rejected: EXIT_CODE.rejected,
    change_unknown: EXIT_CODE.unknown,
    not_in_force: EXIT_CODE.notInForce,
    request_unknown: EXIT_CODE.failed,
  };

/** The output of a command: text lines, or data for `--json`. @public */
export interface CommandOutput {
  readonly lines: readonly string[];
  readonly data: unknown;
}
