import { expect } from 'chai'
import { OrderReply } from 'dotterelspur'
import { VerifiedReportClient } from '../../process/VerifiedReportClient.js'
import { ReportResultKind, type EndpointLocation, type ReportResult } from '../../process/GatewayPorts.js'

const LOCATION: EndpointLocation = { endpoint: 'w1', address: '10.0.0.1:1' }
const TIMEOUT_MS = 100

function answered (orderCount: number | null): ReportResult {
  return { kind: ReportResultKind.Answered, report: { membership: null, model: null, staged: [], running: 0, waiting: 0, orderCount } }
}

/** Reports are answered with `answers` in order. */
function createClient (answers: ReportResult[]): { client: VerifiedReportClient, ended: Set<string> } {
  const ended = new Set<string>()
  const control = { order: async () => OrderReply.Unanswered, report: async () => answers.shift()! }
  return { client: new VerifiedReportClient({ control, isSuperseded: ({ endpoint }) => ended.has(endpoint) }), ended }
}

async function requestReports (client: VerifiedReportClient, times: number): Promise<ReportResultKind[]> {
  const kinds: ReportResultKind[] = []
  for (let asked = 0; asked < times; asked++) kinds.push((await client.report(LOCATION, TIMEOUT_MS)).kind)
  return kinds
}

describe('VerifiedReportClient', () => {
  it('rejects a report whose order count has decreased', async () => {
    // Guards against planning with a dead endpoint. A new VM starts at the dead one's address and answers its report
    // requests before it is listed; only its order count, which never decreases within one incarnation, shows the
    // difference.
    const { client } = createClient([answered(2), answered(3), answered(0), answered(0)])
    expect(await requestReports(client, 4)).to.deep.equal([ReportResultKind.Answered, ReportResultKind.Answered, ReportResultKind.Gone, ReportResultKind.Answered])
  })

  it('compares with the counts known when the request was sent', async () => {
    const { client } = createClient([answered(3), answered(2)])
    const ends = await Promise.all([client.report(LOCATION, TIMEOUT_MS), client.report(LOCATION, TIMEOUT_MS)])
    expect(ends.map(({ kind }) => kind)).to.deep.equal([ReportResultKind.Answered, ReportResultKind.Answered])
  })

  it('queries no endpoint at whose address another one is listed or has responded', async () => {
    const { client, ended } = createClient([answered(null), answered(null)])
    ended.add('w1')
    expect(await requestReports(client, 1)).to.deep.equal([ReportResultKind.Gone])
    ended.clear()
    client.noteAddressTaken(LOCATION)
    expect(await requestReports(client, 1)).to.deep.equal([ReportResultKind.Gone])
    const moved = await client.report({ ...LOCATION, address: '10.0.0.2:1' }, TIMEOUT_MS)
    expect(moved.kind).to.equal(ReportResultKind.Answered)
    client.retain(new Map())
    expect(await requestReports(client, 1)).to.deep.equal([ReportResultKind.Answered])
  })
})
