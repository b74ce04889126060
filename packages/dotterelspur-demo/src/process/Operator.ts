import { randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { ExitCode, createHttpTransport, runCommandLine } from 'dotterelspur-ctl'
import { SystemClock } from 'dotterelspur-clock'

/** What one command printed and how it ended. */
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

/** An operator at the product's own command line, `dotterelctl`. */
export class Operator {
  constructor (private readonly token: string, private readonly admins: () => readonly string[]) {}

  /** Runs one command against the nodes, each tried in turn. */
  run (words: readonly string[]): Promise<CommandReport> {
    return this.runAt(this.admins(), words)
  }

  /** How many groups one node says that it may dispatch to. */
  async servingGroups (admin: string): Promise<number> {
    const report = await this.runAt([admin], ['groups', '--json'])
    if (!report.done) return 0
    const { groups } = JSON.parse(report.output) as { readonly groups: readonly GroupLine[] }
    return groups.filter((group) => group.serving).length
  }

  /** What the last command printed, for the message of a failure. */
  async lastWords (): Promise<string> {
    const groups = await this.run(['groups'])
    return `${groups.output}${groups.errors}`
  }

  private async runAt (admins: readonly string[], words: readonly string[]): Promise<CommandReport> {
    const transport = createHttpTransport()
    let output = ''
    let errors = ''
    const exitCode = await runCommandLine(words, {
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
