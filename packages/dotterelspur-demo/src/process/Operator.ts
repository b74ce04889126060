import { randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { ExitCode, createHttpTransport, runCommandLine } from 'dotterelspur-ctl'
import { SystemClock } from 'dotterelspur-clock'

/** Output and exit code of a command. */
export interface CommandReport {
  readonly exitCode: ExitCode
  readonly done: boolean
  readonly output: string
  readonly errors: string
}

interface GroupLine {
  readonly serving: boolean
}

const OPERATOR_NAME = 'demo'

/** Runs `dotterelctl` commands as an operator. */
export class Operator {
  constructor (private readonly token: string, private readonly admins: () => readonly string[]) {}

  /** Runs a command; it tries the nodes in turn. */
  run (args: readonly string[]): Promise<CommandReport> {
    return this.runAt(this.admins(), args)
  }

  /** Number of groups to which a node may dispatch, by its own report. */
  async servingGroups (admin: string): Promise<number> {
    const report = await this.runAt([admin], ['groups', '--json'])
    if (!report.done) return 0
    const { groups } = JSON.parse(report.output) as { readonly groups: readonly GroupLine[] }
    return groups.filter((group) => group.serving).length
  }

  /** The groups as the nodes list them, for error messages. */
  async describeGroups (): Promise<string> {
    const groups = await this.run(['groups'])
    return `${groups.output}${groups.errors}`
  }

  private async runAt (admins: readonly string[], args: readonly string[]): Promise<CommandReport> {
    const transport = createHttpTransport()
    let output = ''
    let errors = ''
    const exitCode = await runCommandLine(args, {
      environment: { DOTTERELCTL_ADMIN: admins.join(','), DOTTERELCTL_TOKEN: this.token, DOTTERELCTL_OPERATOR: OPERATOR_NAME },
      clock: new SystemClock(),
      transport,
      readFile: (path) => readFile(path),
      createChangeToken: () => randomUUID(),
      writeOutput: (text) => { output += text },
      writeError: (text) => { errors += text }
    })
    await transport.close()
    return { exitCode, done: exitCode === ExitCode.Done, output, errors }
  }
}
