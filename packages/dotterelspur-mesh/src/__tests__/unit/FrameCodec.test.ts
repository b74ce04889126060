import { expect } from 'chai'
import { createRandom, EvidenceKind, type Frame, FrameKind, MemberHealth, type MemberRecord } from 'dotterelspur'
import { decodeFrame, encodeFrame } from '../../connection/FrameCodec.js'
import { createDocument, createGroupPresence } from './meshFixture.js'

function createRecord (node: string): MemberRecord {
  return { node, incarnation: 3, revision: 2, health: MemberHealth.Suspect, draining: true, region: 'perth', failureDomain: 'fd-1', meshAddress: '10.0.0.1:7', entryAddress: 'http://10.0.0.1', adminAddress: 'http://10.0.0.1:9' }
}

const SERVICE = { vm: 'vm-1', incarnation: 4, service: 'trips', failureDomain: 'fd-0', address: 'http://10.0.0.9', present: true, leaving: false, ageMs: 3, load: { running: 1, waiting: 2, capacity: 3, cacheUsed: 0.125, ageMs: 4 } }

/** One frame of each kind. */
const FRAMES: readonly Frame[] = [
  {
    kind: FrameKind.Beat,
    sequence: 9,
    echoSequence: 8,
    echoHeldMs: 120,
    membersDigest: 0xffff_ffff,
    documentsDigest: 7,
    storeAgeMs: -1,
    full: [{ index: 0, watcher: 'w', body: { kind: EvidenceKind.Group, presence: createGroupPresence('g') } }, { index: 1, watcher: 'w', body: { kind: EvidenceKind.Service, presence: SERVICE } }],
    short: [{ index: 0, ageMs: 12, running: 3, waiting: 0, cachePercent: 50, loadAgeMs: 7 }]
  },
  { kind: FrameKind.Members, records: [createRecord('a'), createRecord('b')] },
  { kind: FrameKind.MembersSync, versions: [{ node: 'a', incarnation: 3, revision: 2, health: MemberHealth.Dead }] },
  { kind: FrameKind.Announce, versions: [{ key: 'teams/a', version: 5 }] },
  { kind: FrameKind.Want, keys: ['teams/a', 'teams/b'] },
  { kind: FrameKind.Documents, documents: [createDocument('teams/a', 5), { key: 'teams/b', version: 6, body: null, deleted: true }] },
  { kind: FrameKind.DocumentsSync, buckets: [1, 2, 3] },
  { kind: FrameKind.DocumentVersions, versions: [] },
  { kind: FrameKind.ProbeAsk, target: 'a', incarnation: 3 },
  { kind: FrameKind.ProbeReply, target: 'a', incarnation: 3, heardAgeMs: 40 },
  { kind: FrameKind.Leaving },
  { kind: FrameKind.CallOpen, call: 1, incarnation: 3, credit: 32, method: 'm', request: { text: 'x' } },
  { kind: FrameKind.CallMessage, call: 1, message: [1, null] },
  { kind: FrameKind.CallEnd, call: 1 },
  { kind: FrameKind.CallError, call: 1, error: 'rejected', reason: 'why' },
  { kind: FrameKind.CallCancel, call: 1 },
  { kind: FrameKind.CallCredit, call: 1, credit: 16 }
]

describe('FrameCodec', () => {
  it('is tested with a frame of each kind', () => {
    const kinds = Object.values(FrameKind).filter((kind) => typeof kind === 'number')
    expect(new Set(FRAMES.map((frame) => frame.kind))).to.deep.equal(new Set(kinds))
  })

  for (const frame of FRAMES) {
    it(`decodes the ${FrameKind[frame.kind]} that it encodes`, () => {
      expect(decodeFrame(encodeFrame(frame))).to.deep.equal({ ok: true, value: frame })
    })
  }

  // From a fixed seed, bytes are changed, truncated, removed and repeated. Each result is a complete frame or a reason.
  it('rejects corrupted frames with a reason and never throws', () => {
    const random = createRandom(11)
    let rejectedCount = 0
    for (let round = 0; round < 20_000; round += 1) {
      const bytes = [...encodeFrame(FRAMES[random.integer(FRAMES.length)]!)]
      const changes = 1 + random.integer(4)
      for (let change = 0; change < changes; change += 1) {
        const at = random.integer(bytes.length + 1)
        const mutation = random.integer(4)
        if (mutation === 0) bytes[Math.min(at, Math.max(0, bytes.length - 1))] = random.integer(256)
        else if (mutation === 1) bytes.length = at
        else if (mutation === 2) bytes.splice(at, 0, random.integer(256))
        else bytes.splice(at, random.integer(8), ...bytes.slice(0, random.integer(8)))
      }
      const decoded = decodeFrame(Buffer.from(bytes))
      if (decoded.ok) expect(FrameKind[decoded.value.kind]).to.be.a('string')
      else {
        rejectedCount += 1
        expect(decoded.error.reason).to.be.a('string').and.not.equal('')
      }
    }
    expect(rejectedCount).to.be.greaterThan(1_000)
  })

  const malformedFrames = [
    { name: 'a list that claims 4294967295 entries', hex: '9201ddffffffff' },
    { name: 'a string that claims 2 GiB', hex: '9201db7fffffff' },
    { name: 'lists nested 100000 levels deep', hex: '91'.repeat(100_000) },
    { name: 'a kind that names an inherited object property', hex: '91a8746f537472696e67' },
    { name: 'a version that is not a safe integer', hex: '92049192a161cb43e0000000000000' },
    { name: 'a version of zero', hex: '92049192a16100' },
    { name: 'an empty buffer', hex: '' }
  ]
  for (const { name, hex } of malformedFrames) {
    it(`rejects ${name}`, () => {
      expect(decodeFrame(Buffer.from(hex, 'hex')).ok).to.equal(false)
    })
  }
})
