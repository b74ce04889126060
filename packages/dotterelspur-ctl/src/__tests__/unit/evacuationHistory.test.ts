import { expect } from 'chai'
import { ExitCode } from '../../process/ExitCode.js'
import { evacuationHistory } from '../../request/evacuationHistory.js'
import { createCommandLine } from './fixtures/createCommandLine.js'

const line = (second: number, node: string, event: string, fields: object = {}): string => `collector ${JSON.stringify({ time: `2026-12-03T10:00:0${second}.000Z`, node, event, ...fields })}`

/** An evacuation of domain c on a node that stops, two of domain a, the first one learned of again by a node that starts anew, and one of b that goes on. */
const LINES = [
  line(0, 'n1', 'evacuation-begun', { failureDomain: 'a', endpoints: 4, runningRequests: 2, storeVersion: 7 }),
  line(0, 'n2', 'evacuation-begun', { failureDomain: 'a', endpoints: 4, runningRequests: 0, storeVersion: 7 }),
  line(0, 'n2', 'evacuation-drained', { failureDomain: 'a', lastRequestMs: null }),
  line(1, 'n2', 'start'),
  line(2, 'n2', 'evacuation-begun', { failureDomain: 'a', endpoints: 4, runningRequests: 0, storeVersion: 7 }),
  line(3, 'n1', 'evacuation-drained', { failureDomain: 'a', lastRequestMs: 3_000 }),
  line(4, 'n1', 'evacuation-ended', { failureDomain: 'a', forMs: 4_000 }),
  line(5, 'n2', 'evacuation-ended', { failureDomain: 'a', forMs: 3_000 }),
  line(5, 'n3', 'evacuation-begun', { failureDomain: 'c', endpoints: 1, runningRequests: 1, storeVersion: 8 }),
  line(6, 'n3', 'stop'),
  line(7, 'n3', 'evacuation-drained', { failureDomain: 'c', lastRequestMs: 2_000 }),
  line(6, 'n1', 'evacuation-begun', { failureDomain: 'b', endpoints: 4, runningRequests: 1, storeVersion: 9 }),
  line(7, 'n1', 'evacuation-begun', { failureDomain: 'a', endpoints: 4, runningRequests: 0, storeVersion: 10 }),
  'no log line'
].join('\n')

const at = (second: number): number => Date.parse(`2026-12-03T10:00:0${second}.000Z`)

describe('evacuationHistory', () => {
  it('tells evacuations of one domain apart, and counts a node that started anew once', () => {
    expect(evacuationHistory(LINES)).to.deep.equal({
      unreadable: 1,
      evacuations: [
        { failureDomain: 'a', begunMs: at(0), endedMs: at(5), nodes: 2, inForce: 0, lastRequestMs: at(3), draining: 0 },
        { failureDomain: 'c', begunMs: at(5), endedMs: null, nodes: 1, inForce: 0, lastRequestMs: at(7), draining: 0 },
        { failureDomain: 'b', begunMs: at(6), endedMs: null, nodes: 1, inForce: 1, lastRequestMs: null, draining: 1 },
        { failureDomain: 'a', begunMs: at(7), endedMs: null, nodes: 1, inForce: 1, lastRequestMs: null, draining: 1 }
      ]
    })
  })

  it('is what the command prints', async () => {
    const run = createCommandLine({ addresses: [], files: { 'a.log': LINES, 'b.log': '', '-': '' } })
    const { output, exitCode } = await run('evacuations', 'a.log', 'b.log')
    expect(exitCode).to.equal(ExitCode.Done)
    expect(output).to.match(/^a +2026-12-03T10:00:00\.000Z +2026-12-03T10:00:05\.000Z +2 +0 +2026-12-03T10:00:03\.000Z +0$/m)
    expect(output).to.match(/^b +2026-12-03T10:00:06\.000Z +- +1 +1 +- +1$/m)
    expect((await run('evacuations')).exitCode).to.equal(ExitCode.NotFound)
  })
})
