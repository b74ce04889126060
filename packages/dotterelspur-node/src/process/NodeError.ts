import type { SettingsError } from 'dotterelspur-settings'

export enum NodeErrorKind {
  /** A file named on the command line or in the settings can't be read. */
  UnreadableFile = 'unreadable-file',
  InvalidSettings = 'invalid-settings',
  /** A listener could not be opened. */
  ListenFailed = 'listen-failed'
}

/** The reason why a node did not start. */
export type NodeError =
  | { readonly kind: NodeErrorKind.UnreadableFile, readonly path: string, readonly reason: string }
  | { readonly kind: NodeErrorKind.InvalidSettings, readonly error: SettingsError }
  | { readonly kind: NodeErrorKind.ListenFailed, readonly address: string, readonly reason: string }
