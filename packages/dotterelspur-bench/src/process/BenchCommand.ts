import type { CommandModule } from 'yargs'

/** One command of the bench. Its handler returns the exit code. */
export interface BenchCommand<Options> {
  readonly command: string
  readonly summary: string
  readonly builder: CommandModule<object, Options>['builder']
  run (options: Options): Promise<number>
}

/** Turns a command into yargs' form. */
export function toCommandModule<Options> (command: BenchCommand<Options>): CommandModule<object, Options> {
  return {
    command: command.command,
    describe: command.summary,
    builder: command.builder,
    handler: async (options) => { process.exitCode = await command.run(options as Options) }
  }
}
