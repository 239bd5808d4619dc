/** How a command ends: what it prints and the exit code. */

/** The tool's exit codes. @public */
export const EXIT = {
  ok: 0,
  failed: 1,
  usage: 2,
  rejected: 3,
  unknown: 4,
  notInForce: 5,
} as const;

/** @public */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** Every failure that the tool reports. @public */
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

/** The exit code of each failure. @public */
export const EXIT_OF: Readonly<Record<ToolError['kind'], ExitCode>> = {
  usage: EXIT.usage,
  file_invalid: EXIT.usage,
  settings_invalid: EXIT.usage,
  log_unavailable: EXIT.failed,
  instance_unreachable: EXIT.failed,
  change_rejected: EXIT.rejected,
  change_unknown: EXIT.unknown,
  not_in_force: EXIT.notInForce,
  request_unknown: EXIT.failed,
};

/** What a command found out: lines for people, data for programs. @public */
export interface Output {
  readonly lines: readonly string[];
  readonly data: unknown;
}
