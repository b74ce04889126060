import type { CommandModule } from 'yargs'

/** A command of the bench. Its handler returns the exit code. */
export interface BenchCommand<Options> {
  readonly command: string
  readonly summary: string
  readonly builder: CommandModule<object, Options>['builder']
  run (options: Options): Promise<number>
}

/** Converts a command to a yargs module. */
export function toCommandModule<Options> (command: BenchCommand<Options>): CommandModule<object, Options> {
  return {
    command: command.command,
    describe: command.summary,
    builder: command.builder,
    handler: async (options) => { process.exitCode = await command.run(options as Options) }
  }
}
