import { expect } from 'chai'
import { createRandom, FrameKind, type MemberRecord, MemberHealth } from 'dotterelspur'
import { WebSocket } from 'ws'
import { ConnectionPurpose } from '../../connection/Connection.js'
import { encodeFrame } from '../../connection/FrameCodec.js'
import { handshakeAsDialer, RefusalReason } from '../../connection/Handshake.js'
import { Transport, type TransportOptions } from '../../connection/Transport.js'
import { CredentialsKind, type Mesh, type MeshCredentials } from '../../index.js'
import { createAuthority, createCertificate } from './certificateFixture.js'
import { createDocument, createFleet, FAST_TIMING, type Fleet, realClock, waitUntil } from './meshFixture.js'

const KEY: MeshCredentials = { kind: CredentialsKind.SharedKey, key: 'test key' }

function refusals (mesh: Mesh, reason: RefusalReason): number {
  return mesh.counters().refused[reason] ?? 0
}

function createUnknownMember (): MemberRecord {
  return { node: 'stranger', incarnation: 1, revision: 0, health: MemberHealth.Alive, draining: false, region: 'perth', failureDomain: 'fd-0', meshAddress: '127.0.0.1:1', entryAddress: '', adminAddress: '' }
}

/** Opens a raw connection that has passed the handshake, for sending frames that no node would send. */
async function createRawPeer (mesh: Mesh): Promise<WebSocket> {
  const socket = new WebSocket(`ws://${mesh.self.meshAddress}/mesh`)
  await new Promise((resolve) => { socket.once('open', resolve) })
  const handshake = await handshakeAsDialer(socket, ConnectionPurpose.Gossip, { node: null, incarnation: 0 }, { self: createUnknownMember, credentials: KEY, clock: realClock, timeoutMs: 5_000, isCertifiedAs: () => true })
  expect(handshake.ok).to.equal(true)
  return socket
}

function closed (socket: WebSocket): Promise<{ readonly code: number, readonly reason: string }> {
  return new Promise((resolve) => { socket.once('close', (code, reason) => resolve({ code, reason: reason.toString() })) })
}

describe('Handshake', () => {
  let fleet: Fleet

  afterEach(async () => { await fleet.stop() })

  async function createPair (credentials: readonly MeshCredentials[]): Promise<readonly Mesh[]> {
    fleet = await createFleet(0)
    for (const own of credentials) await fleet.add({ credentials: own })
    return fleet.meshes
  }

  it('connects nodes whose certificates name them', async () => {
    const authority = await createAuthority('authority')
    const meshes = await createPair([await createCertificate(authority, 'node-0'), await createCertificate(authority, 'node-1')])
    await waitUntil(() => meshes.every((mesh) => mesh.members().length === 2))
  })

  const cases: ReadonlyArray<{ readonly name: string, readonly reason: RefusalReason, credentials (): Promise<readonly MeshCredentials[]> }> = [
    {
      name: 'a different shared key',
      reason: RefusalReason.WrongKey,
      credentials: async () => [KEY, { kind: CredentialsKind.SharedKey, key: 'another key' }]
    },
    {
      name: 'a certificate of another authority',
      reason: RefusalReason.CertificateRejected,
      credentials: async () => {
        const [ours, theirs] = [await createAuthority('ours'), await createAuthority('theirs')]
        return [await createCertificate(ours, 'node-0'), await createCertificate(theirs, 'node-1', 1, ours)]
      }
    },
    {
      name: 'a certificate that names another node',
      reason: RefusalReason.WrongName,
      credentials: async () => {
        const authority = await createAuthority('authority')
        return [await createCertificate(authority, 'node-0'), await createCertificate(authority, 'node-7')]
      }
    },
    {
      name: 'an expired certificate',
      reason: RefusalReason.CertificateRejected,
      credentials: async () => {
        const authority = await createAuthority('authority')
        return [await createCertificate(authority, 'node-0'), await createCertificate(authority, 'node-1', -2)]
      }
    },
    {
      name: 'an unencrypted connection where certificates are required',
      reason: RefusalReason.Unreachable,
      credentials: async () => [await createCertificate(await createAuthority('authority'), 'node-0'), KEY]
    }
  ]
  for (const { name, reason, credentials } of cases) {
    it(`refuses ${name}, whichever node dials, and reports the reason`, async () => {
      const meshes = await createPair(await credentials())
      await waitUntil(() => meshes.every((mesh) => refusals(mesh, reason) > 0))
      expect(meshes.map((mesh) => mesh.members().length)).to.deep.equal([1, 1])
      expect(meshes.map((mesh) => mesh.counters().handshakes)).to.deep.equal([0, 0])
    })
  }

  // Guards against a call to a node that throws, instead of ending as one that was not sent, because of the address in the node's entry.
  it('refuses addresses to which no connection can be opened', async () => {
    fleet = await createFleet(0)
    const refused: string[] = []
    const transport = new Transport({
      listenHost: '127.0.0.1',
      listenPort: 0,
      localAddress: undefined,
      credentials: KEY,
      guard: null,
      clock: realClock,
      handshakeTimeoutMs: 500,
      maxConnections: 1,
      connectionLimits: { maxFrameBytes: 1_000 },
      self: createUnknownMember,
      metrics: { countRefused: (reason: string) => { refused.push(reason) } },
      onConnection: () => {}
    } as unknown as TransportOptions)
    for (const address of ['127.0.0.1:70000', '999.0.0.1:1', 'a b', '']) {
      const dialed = await transport.dial(address, { node: null, incarnation: 0 }, ConnectionPurpose.Call)
      expect(dialed.ok ? null : dialed.error.reason).to.equal(RefusalReason.Unreachable)
    }
    expect(refused).to.have.length(4)
    await transport.close()
  })

  it('disconnects a peer that sends no handshake message', async () => {
    fleet = await createFleet(1, { timing: { ...FAST_TIMING, dialTimeoutMs: 200 } })
    const socket = new WebSocket(`ws://${fleet.meshes[0]!.self.meshAddress}/mesh`)
    expect(await closed(socket)).to.include({ reason: RefusalReason.TimedOut })
    expect(refusals(fleet.meshes[0]!, RefusalReason.TimedOut)).to.equal(1)
  })

  it('refuses random bytes in place of a handshake and keeps no state for them', async () => {
    fleet = await createFleet(1)
    const [mesh] = fleet.meshes
    const random = createRandom(5)
    for (let round = 0; round < 40; round += 1) {
      const socket = new WebSocket(`ws://${mesh!.self.meshAddress}/mesh`)
      socket.once('open', () => socket.send(Buffer.from(Array.from({ length: random.integer(200) }, () => random.integer(256)))))
      expect((await closed(socket)).reason).to.equal(RefusalReason.Malformed)
    }
    expect(refusals(mesh!, RefusalReason.Malformed)).to.equal(40)
    expect(mesh!.sizes()).to.include({ members: 1, gossipLinks: 0 })
  })

  it('closes a link on a malformed frame, with the reason, and keeps its other links', async () => {
    fleet = await createFleet(2)
    const [mesh] = fleet.meshes
    await waitUntil(() => mesh!.sizes().gossipLinks === 1)
    const frames = [Buffer.from([0xc1]), Buffer.from([0x91, 0x63]), Buffer.from('81a16101', 'hex'), Buffer.from('9101', 'hex'), Buffer.from('911'.padEnd(8, 'f'), 'hex'), Buffer.from('9214a0', 'hex')]
    for (const frame of frames) {
      const socket = await createRawPeer(mesh!)
      socket.send(frame)
      const { code, reason } = await closed(socket)
      expect(code).to.equal(1008)
      expect(reason).to.not.equal('')
    }
    expect(mesh!.counters().malformedFrames).to.equal(frames.length)
    await waitUntil(() => mesh!.sizes().gossipLinks === 1)
  })

  // Guards against unbounded memory use: a peer requests large documents and stops reading, and the frames for it are
  // queued without a limit.
  it('drops and counts gossip frames to a peer that does not read', async () => {
    fleet = await createFleet(1, { maxQueuedBytes: 2_000_000 })
    const [mesh] = fleet.meshes
    mesh!.offerDocument(createDocument('teams/large', 1, 'x'.repeat(900_000)))
    const socket = await createRawPeer(mesh!)
    socket.pause()
    const want = encodeFrame({ kind: FrameKind.Want, keys: ['teams/large'] })
    for (let sent = 0; sent < 60; sent += 1) socket.send(want)
    await waitUntil(() => (mesh!.counters().dropped[FrameKind[FrameKind.Documents]] ?? 0) > 0)
    socket.terminate()
  })

  it('closes a link on a frame above the size limit', async () => {
    fleet = await createFleet(1)
    const socket = await createRawPeer(fleet.meshes[0]!)
    socket.send(Buffer.alloc(1_500_000))
    expect((await closed(socket)).code).to.equal(1009)
  })
})
