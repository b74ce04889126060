import { expect } from 'chai'
import { ColdEndpoints, ManualClock, NO_DEADLINES_OBSERVED, RouteTable, type EndpointRecord, type NodeObservation } from 'dotterelspur'
import { ObservationCodec } from '../../connection/ObservationCodec.js'
import { ColdEndpointMonitor, type ColdEndpointMonitorParts } from '../../process/ColdEndpointMonitor.js'
import type { DecisionLog } from '../../process/DecisionLog.js'
import { RecordSource } from '../../process/EndpointRegistry.js'
import { createEndpoint, createManifest } from '../fixtures/builders.js'

const OBSERVATION: NodeObservation = { inFlight: {}, flows: {}, demand: {}, speeds: {}, pauses: {}, firstEvents: {}, deadlines: NO_DEADLINES_OBSERVED, limits: {}, rests: {}, leaving: [] }

function createMonitor (isLimited = true, { senders = () => [], isListed = () => true }: Partial<Pick<ColdEndpointMonitorParts, 'senders' | 'isListed'>> = {}): { monitor: ColdEndpointMonitor, cold: ColdEndpoints, clock: ManualClock, lines: unknown[], list: (...records: EndpointRecord[]) => void } {
  const clock = new ManualClock()
  const lines: unknown[] = []
  const log = { write: (event: string, fields: object) => { lines.push({ event, ...fields }) } } as unknown as DecisionLog
  const plain = { service: 'plain', healthPath: '/health', maxConnections: 50, engine: null }
  const table = new RouteTable(createManifest(1, { services: [isLimited ? { ...plain, cold: { requestsPerSecond: 23, startMs: 3_000 } } : plain] }))
  const cold = new ColdEndpoints('n1')
  const origins = new Map<string, { source: RecordSource, atMs: number }>()
  const endpoints = { isSynchronized: true, recordOrigin: (endpoint: string) => origins.get(endpoint) }
  const monitor = new ColdEndpointMonitor(cold, { clock, log, node: 'n1', endpoints, manifest: { current: table }, senders, isListed, nodeView: () => ({ nodes: [], ownVersion: null, ageMs: 0 }), hasAllNodes: () => true })
  const list = (...records: EndpointRecord[]): void => {
    for (const { endpoint } of records) origins.set(endpoint, { source: RecordSource.List, atMs: clock.nowMs() })
    monitor.noteEndpoints(new Map(records.map((record) => [record.endpoint, record])))
  }
  return { monitor, cold, clock, lines, list }
}

describe('ColdEndpointMonitor', () => {
  it('logs once that an endpoint is cold, with its source, and how much it was sent when it is warm', () => {
    const { monitor, clock, lines, list } = createMonitor()
    const old = createEndpoint('e1', '10.0.0.1:1')
    list(old)
    list(old, createEndpoint('e2', '10.0.0.2:1'))
    monitor.noteResponse(old, 1_000)
    monitor.noteSent('e1')
    monitor.noteAggregate()
    clock.advance(3_000)
    monitor.noteAggregate()
    expect(lines).to.deep.equal([
      { event: 'endpoint-cold', endpoint: 'e2', remainingMs: 3_000, source: 'start' },
      { event: 'endpoint-cold', endpoint: 'e1', remainingMs: 1_000, source: 'response' },
      { event: 'endpoint-warm', endpoint: 'e2', sent: 0 },
      { event: 'endpoint-warm', endpoint: 'e1', sent: 1 }
    ])
    expect([monitor.coldEndpoints, monitor.sentToCold]).to.deep.equal([0, 1])
  })

  it('owns no share of a cold endpoint\'s rate while other nodes do not list this one', () => {
    // Guards against two owners of one share: the other nodes have given it to the next node of the order.
    const state = { isListed: true, senders: [{ node: 'n1', failureDomain: 'a' }] }
    const { monitor, cold, clock, list } = createMonitor(true, { senders: () => state.senders, isListed: () => state.isListed })
    list()
    list(createEndpoint('e1', '10.0.0.1:1'))
    const note = (isListed: boolean): void => {
      state.isListed = isListed
      state.senders = [...state.senders]
      monitor.noteSenders()
    }
    note(true)
    clock.advance(2_500)
    expect(cold.isOwned('e1', clock.nowMs())).to.equal(true)
    note(false)
    expect(cold.isOwned('e1', clock.nowMs())).to.equal(false)
  })

  it('keeps the known time where a statement is invalid, with one line, and reads an entry only once', () => {
    const { monitor, cold, clock, lines, list } = createMonitor()
    const record = createEndpoint('e1', '10.0.0.1:1', { coldRemainingMs: 2_000 })
    list(record)
    for (const stated of [null, null, undefined]) monitor.noteResponse(record, stated)
    clock.advance(500)
    // A change of the record that is not a new entry, such as that of its membership.
    monitor.noteEndpoints(new Map([['e1', { ...record, slots: 1 }]]))
    expect(cold.remainingMs('e1', clock.nowMs())).to.equal(1_500)
    expect(lines.slice(1)).to.deep.equal([{ event: 'cold-time-rejected', endpoint: 'e1', source: 'response' }])
    expect(monitor.invalidColdTimes).to.equal(2)
  })

  it('does nothing where no service has a limit for cold endpoints', () => {
    const { monitor, cold, lines, list } = createMonitor(false)
    list(createEndpoint('e1', '10.0.0.1:1', { coldRemainingMs: 2_000 }))
    monitor.noteResponse(createEndpoint('e1', '10.0.0.1:1'), 2_000)
    expect([lines, cold.cold(0), cold.localObservation(0)]).to.deep.equal([[], [], {}])
  })

  it('shares cold times with other nodes, in a message that is unchanged where none is cold', () => {
    const codec = new ObservationCodec()
    codec.setEndpoints(new Set(['e1']))
    expect(codec.decode(codec.encode({ ...OBSERVATION, cold: { e1: 1_200 } })).cold).to.deep.equal({ e1: 1_200 })
    expect(codec.encode(OBSERVATION)).to.not.have.property('cold')
    expect(codec.decode(codec.encode(OBSERVATION))).to.deep.equal(OBSERVATION)
  })
})
