import { expect } from 'chai'
import { OrderReply } from 'dotterelspur'
import { VerifiedReportClient } from '../../process/VerifiedReportClient.js'
import { ReportResultKind, type EndpointLocation, type ReportResult } from '../../process/GatewayPorts.js'

const PLACE: EndpointLocation = { endpoint: 'w1', address: '10.0.0.1:1' }
const TIMEOUT_MS = 100

function answered (orderCount: number | null): ReportResult {
  return { kind: ReportResultKind.Answered, report: { membership: null, model: null, staged: [], running: 0, waiting: 0, orderCount } }
}

/** Answers come in the sequence in which `answers` has them. */
function createClient (answers: ReportResult[]): { client: VerifiedReportClient, ended: Set<string> } {
  const ended = new Set<string>()
  const control = { order: async () => OrderReply.Unanswered, report: async () => answers.shift()! }
  return { client: new VerifiedReportClient({ control, isSuperseded: ({ endpoint }) => ended.has(endpoint) }), ended }
}

async function ask (client: VerifiedReportClient, times: number): Promise<ReportResultKind[]> {
  const kinds: ReportResultKind[] = []
  for (let asked = 0; asked < times; asked++) kinds.push((await client.report(PLACE, TIMEOUT_MS)).kind)
  return kinds
}

describe('EndpointQuestions', () => {
  it('takes no answer for the word of an endpoint whose count of orders has gone back', async () => {
    // A VM died, another one started at its address, and was listed a quarter of a second later. A question of that time was
    // answered by the new one, "in no group" after two orders, and the dead one was planned with. A count only rises in one life.
    const { client } = createClient([answered(2), answered(3), answered(0), answered(0)])
    expect(await ask(client, 4)).to.deep.equal([ReportResultKind.Answered, ReportResultKind.Answered, ReportResultKind.Gone, ReportResultKind.Answered])
  })

  it('compares with counts that were known when the question was sent', async () => {
    const { client } = createClient([answered(3), answered(2)])
    const ends = await Promise.all([client.report(PLACE, TIMEOUT_MS), client.report(PLACE, TIMEOUT_MS)])
    expect(ends.map(({ kind }) => kind)).to.deep.equal([ReportResultKind.Answered, ReportResultKind.Answered])
  })

  it('asks nobody whose address another one has, or has answered at', async () => {
    const { client, ended } = createClient([answered(null), answered(null)])
    ended.add('w1')
    expect(await ask(client, 1)).to.deep.equal([ReportResultKind.Gone])
    ended.clear()
    client.noteAddressTaken(PLACE)
    expect(await ask(client, 1)).to.deep.equal([ReportResultKind.Gone])
    const moved = await client.report({ ...PLACE, address: '10.0.0.2:1' }, TIMEOUT_MS)
    expect(moved.kind).to.equal(ReportResultKind.Answered)
    client.retain(new Map())
    expect(await ask(client, 1)).to.deep.equal([ReportResultKind.Answered])
  })
})
