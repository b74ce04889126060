import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Record } from './Record.mjs'

const HELD = 0
const BROKEN = 1
const COULD_NOT_RUN = 2
/** A case runs for 120 s at most. */
const LIMIT_MS = 118_000

/** Runs a case, writes record.txt beside it, and exits with its result. With TROUBLE=0 the case leaves the disruption out. */
export async function runCase (url, play) {
  const record = new Record(join(dirname(fileURLToPath(url)), 'record.txt'))
  const hasTrouble = process.env.TROUBLE !== '0'
  record.write('case begins', { trouble: hasTrouble })
  let code = COULD_NOT_RUN
  // Processes end with this one; see SystemNode.
  process.setMaxListeners(0)
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => { process.exit(COULD_NOT_RUN) })
  const timer = setTimeout(() => {
    record.write('case could not run', { reason: `not over after ${LIMIT_MS} ms` })
    process.exit(COULD_NOT_RUN)
  }, LIMIT_MS)
  try {
    const { isBroken, verdict } = await play({ record, hasTrouble })
    record.write(isBroken ? 'rule broken' : 'rule held', { verdict })
    console.log(`${isBroken ? 'broken' : 'held'}: ${verdict}`)
    code = isBroken ? BROKEN : HELD
  } catch (error) {
    record.write('case could not run', { reason: String(error) })
    console.log(`could not run: ${error.stack}`)
  }
  clearTimeout(timer)
  await record.close()
  process.exit(code)
}
