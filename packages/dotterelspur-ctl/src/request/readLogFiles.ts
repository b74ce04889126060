import { success } from 'dotterelspur'
import { readFile, type Steps } from '../process/CommandEffects.js'

const STANDARD_INPUT = '-'

/** Reads the log files that a command names, one after the other; standard input where it names none. */
export function * readLogFiles (logs: unknown): Steps<string> {
  const paths = [logs ?? []].flat().map(String)
  let text = ''
  for (const path of paths.length === 0 ? [STANDARD_INPUT] : paths) {
    const content = yield * readFile(path)
    if (!content.ok) return content
    text += `${new TextDecoder().decode(content.value)}\n`
  }
  return success(text)
}
