import { expect } from 'chai'
import { ExitCode } from '../../process/ExitCode.js'
import { budgetHistory } from '../../request/budgetHistory.js'
import { createCommandLine } from './fixtures/createCommandLine.js'

const line = (second: number, node: string, event: string, fields: object = {}): string => `collector ${JSON.stringify({ time: `2026-12-03T10:00:0${second}.000Z`, node, event, ...fields })}`

/** Node n1 uses its part of two services, n2 starts anew and has no part yet, n3 was killed with its part, n4 has used nothing. */
const LINES = [
  line(0, 'n1', 'budget-part', { part: 0.3333, members: 3, listed: 3, viewAgeMs: 120 }),
  line(1, 'n1', 'retry-budget', { service: 'write', requests: 40, retries: 18, nodes: 3, part: 0.3333, refused: 0 }),
  line(3, 'n1', 'retry-budget', { service: 'write', requests: 30, retries: 7, nodes: 3, part: 0.3333, refused: 4 }),
  line(3, 'n1', 'retry-budget', { service: 'read', requests: 5, retries: 1, nodes: 3, part: 0.3333, refused: 0 }),
  line(6, 'n1', 'budget-part', { part: 0.5, members: 2, listed: 2, viewAgeMs: 90 }),
  line(7, 'n1', 'request-ended'),
  line(0, 'n2', 'budget-part', { part: 0.3333, members: 3, listed: 3, viewAgeMs: 100 }),
  line(2, 'n2', 'retry-budget', { service: 'read', requests: 9, retries: 2, nodes: 3, part: 0.3333, refused: 1 }),
  line(5, 'n2', 'budget-part', { part: 0, members: 1, listed: 0, viewAgeMs: null }),
  line(5, 'n2', 'start'),
  line(0, 'n3', 'budget-part', { part: 0.6, members: 3, listed: 3, viewAgeMs: 100 }),
  line(1, 'n4', 'budget-part', { part: 0, members: 1, listed: 1, viewAgeMs: 10 }),
  line(2, 'n5', 'request-ended'),
  'no log line'
].join('\n')

const at = (second: number): number => Date.parse(`2026-12-03T10:00:0${second}.000Z`)

describe('budgetHistory', () => {
  it('shows the last part of each node, and what it used of each service', () => {
    const { nodes, unreadable } = budgetHistory(LINES)
    expect(unreadable).to.equal(1)
    expect(nodes.map(({ node }) => node)).to.deep.equal(['n1', 'n2', 'n3', 'n4'])
    expect(nodes[0]).to.deep.equal({
      node: 'n1',
      part: 0.5,
      members: 2,
      listed: 2,
      listAgeMs: 90,
      partSinceMs: at(6),
      lastLineMs: at(7),
      services: [
        { service: 'read', last: { atMs: at(3), requests: 5, retries: 1, part: 0.3333 }, most: { atMs: at(3), requests: 5, retries: 1, part: 0.3333 }, refused: 0 },
        { service: 'write', last: { atMs: at(3), requests: 30, retries: 7, part: 0.3333 }, most: { atMs: at(1), requests: 40, retries: 18, part: 0.3333 }, refused: 4 }
      ]
    })
    expect(nodes[1]).to.deep.include({ part: 0, members: 1, listed: 0, listAgeMs: null, partSinceMs: at(5) })
  })

  it('shows the state at a time', () => {
    const { nodes } = budgetHistory(LINES, at(4))
    expect(nodes.map(({ node, part }) => [node, part])).to.deep.equal([['n1', 0.3333], ['n2', 0.3333], ['n3', 0.6], ['n4', 0]])
    expect(nodes[1]!.services).to.have.length(1)
  })

  it('is what the command prints, which says so where the parts are more than the whole', async () => {
    const run = createCommandLine({ addresses: [], files: { 'a.log': LINES, 'b.log': '', '-': '' } })
    const { output, exitCode } = await run('budgets', 'a.log', 'b.log')
    expect(exitCode).to.equal(ExitCode.Done)
    expect(output).to.match(/^n1 +0\.5 +2 +2 +90 +2026-12-03T10:00:06\.000Z +2026-12-03T10:00:07\.000Z +write +30 +7 +4 +2026-12-03T10:00:03\.000Z +18 +0\.3333 +2026-12-03T10:00:01\.000Z$/m)
    expect(output).to.match(/^n3 +0\.6 +3 +3 +100 +2026-12-03T10:00:00\.000Z +2026-12-03T10:00:00\.000Z( +-){8}$/m)
    expect(output).to.match(/^last parts together: 1\.1, more than the whole/m)
    const calm = await run('budgets', 'a.log', '--until', '2026-12-03T10:00:00Z', '--json')
    expect(JSON.parse(calm.output)).to.have.property('parts', 1.2666)
  })

  it('takes rounded parts for no excess, and reports no line at all, and a time that is none', async () => {
    const sevenths = ['n1', 'n2', 'n3', 'n4', 'n5', 'n6', 'n7'].map((node) => line(0, node, 'budget-part', { part: 0.1429, members: 7, listed: 7, viewAgeMs: 1 })).join('\n')
    const run = createCommandLine({ addresses: [], files: { sevenths, '-': '' } })
    expect((await run('budgets', 'sevenths')).output).to.match(/^last parts together: 1\.0003$/m)
    expect((await run('budgets')).exitCode).to.equal(ExitCode.NotFound)
    const wrong = await run('budgets', 'sevenths', '--until', 'noon')
    expect(wrong.exitCode).to.equal(ExitCode.Usage)
    expect(wrong.error).to.match(/--until: "noon"/)
  })
})
