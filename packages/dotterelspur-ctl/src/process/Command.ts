import type { Options } from 'yargs'
import type { Steps } from './CommandEffects.js'
import type { ExitCode } from './ExitCode.js'

/** What a command has to say. */
export interface CommandOutput {
  /** For --json. */
  readonly data: unknown
  /** For people: lines and tables. */
  readonly text: string
  readonly exitCode: ExitCode
}

/** The arguments after yargs has checked them. */
export type CommandArguments = Readonly<Record<string, unknown>>

/** Who makes a change, for the audit trail. */
export interface Signature {
  readonly operator: string
  readonly reason: string
}

export interface Command {
  /** Name and positional arguments, as yargs writes them: `get <team>`. */
  readonly usage: string
  readonly description: string
  readonly options: Readonly<Record<string, Options>>
  readonly positionals: Readonly<Record<string, string>>
  readonly run: (commandArguments: CommandArguments, signature: Signature) => Steps<CommandOutput>
}
