import { formatProblem, type AdminError, type SettingsProblem } from 'dotterelspur-settings'

export enum CommandErrorKind {
  Usage = 'usage',
  /** A file can't be read. */
  File = 'file',
  /** A file was read and is not accepted; nothing was sent. */
  InvalidSettings = 'invalid-settings',
  /** The team has settings, and the text does not say on which version it is based. */
  BaseUnknown = 'base-unknown',
  /** No address took the request: it was not done. */
  Unreachable = 'unreachable',
  /** A change was sent and its answer lost, and sending it again did not settle it. */
  Unsettled = 'unsettled',
  /** An answer that is none of a node's. */
  Malformed = 'malformed',
  /** A node answered that it was not done. */
  Refused = 'refused'
}

export type CommandError =
  | { readonly kind: CommandErrorKind.Usage, readonly message: string }
  | { readonly kind: CommandErrorKind.File, readonly message: string }
  | { readonly kind: CommandErrorKind.InvalidSettings, readonly message: string, readonly problems: readonly SettingsProblem[] }
  | { readonly kind: CommandErrorKind.BaseUnknown, readonly message: string, readonly currentVersion: number }
  | { readonly kind: CommandErrorKind.Unreachable, readonly message: string }
  | { readonly kind: CommandErrorKind.Unsettled, readonly message: string, readonly changeToken: string }
  | { readonly kind: CommandErrorKind.Malformed, readonly message: string }
  | { readonly kind: CommandErrorKind.Refused, readonly message: string, readonly error: AdminError }

export function invalidFile (problems: readonly SettingsProblem[]): CommandError {
  return { kind: CommandErrorKind.InvalidSettings, message: problems.map(formatProblem).join('\n'), problems }
}

export function refused (error: AdminError): CommandError {
  return { kind: CommandErrorKind.Refused, message: error.message, error }
}
