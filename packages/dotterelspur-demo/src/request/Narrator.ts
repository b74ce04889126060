import type { Clock } from 'dotterelspur'
import type { PromiseCheck } from './promises.js'

const WIDTH = 100
const INDENT = '        '

/** Prints the progress of the demo, with the seconds since its start. */
export class Narrator {
  private readonly startMs: number

  constructor (private readonly clock: Clock, private readonly write: (line: string) => void) {
    this.startMs = clock.nowMs()
  }

  say (message: string): void {
    this.write(`${this.seconds().padStart(5)} s ${message}`)
  }

  quote (title: string, text: string): void {
    this.write(`${INDENT}${title}:`)
    for (const line of wrap(`"${text.trim()}"`)) this.write(`${INDENT}  ${line}`)
  }

  command (commandLine: string, output: string): void {
    this.write(`${INDENT}$ ${commandLine}`)
    for (const line of output.trimEnd().split('\n')) this.write(`${INDENT}  ${line}`)
  }

  summary (checks: readonly PromiseCheck[]): void {
    this.write('')
    this.write('Promises, checked against the records of the stand-ins')
    this.write('─'.repeat(WIDTH))
    for (const { promise, held, evidence } of checks) {
      this.write(`${held ? '  held  ' : '  BROKEN'}  ${promise}`)
      this.write(`${INDENT}  ${evidence}`)
    }
    this.write('─'.repeat(WIDTH))
    const broken = checks.filter((check) => !check.held).length
    this.write(broken === 0 ? `All ${checks.length} held, in ${this.seconds()} s.` : `${broken} of ${checks.length} did not hold.`)
  }

  private seconds (): string {
    return ((this.clock.nowMs() - this.startMs) / 1_000).toFixed(1)
  }
}

function wrap (text: string): string[] {
  const lines: string[] = []
  let line = ''
  for (const word of text.split(' ')) {
    if (line.length + word.length >= WIDTH) {
      lines.push(line)
      line = ''
    }
    line += line === '' ? word : ` ${word}`
  }
  return [...lines, line]
}
