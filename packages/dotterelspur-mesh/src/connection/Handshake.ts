import { randomBytes } from 'node:crypto'
import type { WebSocket } from 'ws'
import { type Clock, failed, MESH_PROTOCOL_VERSION, type MemberRecord, type NodeId, type Result, success } from 'dotterelspur'
import { ConnectionPurpose } from './Connection.js'
import { checkProof, createProof, type MeshCredentials, ProofRole, type ProofSubject } from './Credentials.js'
import type { FieldReader } from './FieldReader.js'
import { packFields, createReader, unpackFields } from './FrameCodec.js'
import { readMember, writeMember } from './recordCodec.js'
import { SocketInbox, type SocketMessage } from './SocketInbox.js'

/** Why a handshake or connection was refused. The values appear in counters and in the logs of both peers. */
export enum RefusalReason {
  WrongProtocol = 'wrong-protocol',
  WrongKey = 'wrong-key',
  /** The certificate does not name the node that the peer claims to be. */
  WrongName = 'wrong-name',
  /** The peer is a different node from the one that was dialed. */
  WrongNode = 'wrong-node',
  WrongIncarnation = 'wrong-incarnation',
  /** A node dialed its own address. */
  Self = 'self',
  Malformed = 'malformed',
  TimedOut = 'timed-out',
  TooManyConnections = 'too-many-connections',
  /** The certificate was not issued by the authority, or is not valid at present. */
  CertificateRejected = 'certificate-rejected',
  /** The connection could not be established, or was lost during the handshake. */
  Unreachable = 'unreachable'
}

export interface Refusal {
  readonly reason: RefusalReason
  readonly detail: string
}

/** Result of a successful handshake. */
export interface HandshakeResult {
  readonly peer: MemberRecord
  readonly purpose: ConnectionPurpose
  /** Messages that the peer sent right after the handshake. */
  readonly earlyMessages: readonly SocketMessage[]
}

export interface HandshakeContext {
  readonly self: () => MemberRecord
  readonly credentials: MeshCredentials
  readonly clock: Clock
  readonly timeoutMs: number
  /** Whether the peer's certificate names the node; true for connections without certificates. */
  readonly isCertifiedAs: (node: NodeId) => boolean
}

/** The process that the dialer expects; a node of null or an incarnation of 0 matches any. */
export interface ExpectedPeer {
  readonly node: NodeId | null
  readonly incarnation: number
}

enum HandshakeMessageKind {
  Hello = 1,
  Welcome = 2,
  Proof = 3,
  Ready = 4,
  Refused = 5
}

const NONCE_BYTES = 18
const REFUSAL_REASONS = Object.values(RefusalReason)

function processName (record: MemberRecord): string {
  return `${record.node}.${record.incarnation}`
}

function createNonce (): string {
  return randomBytes(NONCE_BYTES).toString('base64url')
}

/** Runs the dialer's side: it authenticates itself after the acceptor, and completes when the acceptor sends Ready. */
export async function handshakeAsDialer (socket: WebSocket, purpose: ConnectionPurpose, expected: ExpectedPeer, context: HandshakeContext): Promise<Result<HandshakeResult, Refusal>> {
  const inbox = new SocketInbox(socket)
  const cancelDeadline = inbox.registerDeadline(context.clock, context.timeoutMs)
  const result = await runDialerHandshake(socket, inbox, purpose, expected, context)
  cancelDeadline()
  return finish(socket, inbox, result)
}

/** Runs the acceptor's side. */
export async function handshakeAsAcceptor (socket: WebSocket, context: HandshakeContext): Promise<Result<HandshakeResult, Refusal>> {
  const inbox = new SocketInbox(socket)
  const cancelDeadline = inbox.registerDeadline(context.clock, context.timeoutMs)
  const result = await runAcceptorHandshake(socket, inbox, context)
  cancelDeadline()
  return finish(socket, inbox, result)
}

type EstablishedPeer = Pick<HandshakeResult, 'peer' | 'purpose'>

async function runDialerHandshake (socket: WebSocket, inbox: SocketInbox, purpose: ConnectionPurpose, expected: ExpectedPeer, context: HandshakeContext): Promise<Result<EstablishedPeer, Refusal>> {
  const self = context.self()
  const dialerNonce = createNonce()
  socket.send(packFields([HandshakeMessageKind.Hello, MESH_PROTOCOL_VERSION, purpose, writeMember(self), expected.node ?? '', expected.incarnation, dialerNonce]))
  const welcome = await readMessage(inbox, HandshakeMessageKind.Welcome, (fields) => ({ peer: fields.nestedFields('record', readMember), nonce: fields.text('nonce'), proof: fields.text('proof') }))
  if (!welcome.ok) return welcome
  const { peer, nonce, proof } = welcome.value
  if (peer.node === self.node) return refuse(RefusalReason.Self, 'that is this node itself')
  if (expected.node !== null && peer.node !== expected.node) return refuse(RefusalReason.WrongNode, `${peer.node} answers instead of ${expected.node}`)
  if (!context.isCertifiedAs(peer.node)) return refuse(RefusalReason.WrongName, `the certificate does not name ${peer.node}`)
  const subject: ProofSubject = { dialerNonce, acceptorNonce: nonce, dialer: processName(self), acceptor: processName(peer) }
  if (!checkProof(context.credentials, ProofRole.Acceptor, subject, proof)) return refuse(RefusalReason.WrongKey, `${peer.node} has another key`)
  socket.send(packFields([HandshakeMessageKind.Proof, createProof(context.credentials, ProofRole.Dialer, subject)]))
  const ready = await readMessage(inbox, HandshakeMessageKind.Ready, () => ({}))
  return ready.ok ? success({ peer, purpose }) : ready
}

async function runAcceptorHandshake (socket: WebSocket, inbox: SocketInbox, context: HandshakeContext): Promise<Result<EstablishedPeer, Refusal>> {
  const self = context.self()
  const hello = await readMessage(inbox, HandshakeMessageKind.Hello, readHello)
  if (!hello.ok) return hello
  const { protocol, purpose, peer, expectedNode, expectedIncarnation, nonce } = hello.value
  if (protocol !== MESH_PROTOCOL_VERSION) return refuse(RefusalReason.WrongProtocol, `this node speaks ${MESH_PROTOCOL_VERSION}, the peer ${protocol}`)
  if (peer.node === self.node) return refuse(RefusalReason.Self, 'a node of this name is here')
  if (expectedNode !== '' && expectedNode !== self.node) return refuse(RefusalReason.WrongNode, `this is ${self.node}, not ${expectedNode}`)
  if (expectedIncarnation !== 0 && expectedIncarnation !== self.incarnation) return refuse(RefusalReason.WrongIncarnation, `this is incarnation ${self.incarnation}, not ${expectedIncarnation}`)
  if (!context.isCertifiedAs(peer.node)) return refuse(RefusalReason.WrongName, `the certificate does not name ${peer.node}`)
  const subject: ProofSubject = { dialerNonce: nonce, acceptorNonce: createNonce(), dialer: processName(peer), acceptor: processName(self) }
  socket.send(packFields([HandshakeMessageKind.Welcome, writeMember(self), subject.acceptorNonce, createProof(context.credentials, ProofRole.Acceptor, subject)]))
  const proof = await readMessage(inbox, HandshakeMessageKind.Proof, (fields) => fields.text('proof'))
  if (!proof.ok) return proof
  if (!checkProof(context.credentials, ProofRole.Dialer, subject, proof.value)) return refuse(RefusalReason.WrongKey, `${peer.node} has another key`)
  socket.send(packFields([HandshakeMessageKind.Ready]))
  return success({ peer, purpose })
}

function readHello (fields: FieldReader) {
  return {
    protocol: fields.integer('protocol'),
    purpose: fields.oneOf('purpose', [ConnectionPurpose.Gossip, ConnectionPurpose.Call]),
    peer: fields.nestedFields('record', readMember),
    expectedNode: fields.text('expectedNode'),
    expectedIncarnation: fields.integer('expectedIncarnation'),
    nonce: fields.text('nonce')
  }
}

async function readMessage<Value> (inbox: SocketInbox, expectedKind: HandshakeMessageKind, read: (fields: FieldReader) => Value): Promise<Result<Value, Refusal>> {
  const message = await inbox.next()
  if (!message.ok) return refuse(message.error === 'handshake timed out' ? RefusalReason.TimedOut : RefusalReason.Unreachable, message.error)
  const unpacked = unpackFields(message.value.data as Buffer)
  if (!unpacked.ok) return refuse(RefusalReason.Malformed, unpacked.error.reason)
  const [kind, ...rest] = unpacked.value
  const fields = createReader(rest)
  if (kind === HandshakeMessageKind.Refused) return readRefusal(fields)
  if (kind !== expectedKind) return refuse(RefusalReason.Malformed, `expected ${HandshakeMessageKind[expectedKind]}`)
  const value = read(fields)
  return fields.fault === undefined ? success(value) : refuse(RefusalReason.Malformed, fields.fault)
}

/** Reads the peer's refusal, which becomes the result of the handshake. */
function readRefusal (fields: FieldReader): Result<never, Refusal> {
  return refuse(fields.oneOf('reason', REFUSAL_REASONS), fields.text('detail'))
}

function refuse (reason: RefusalReason, detail: string): Result<never, Refusal> {
  return failed({ reason, detail })
}

const NORMAL_CLOSE = 1000

function finish (socket: WebSocket, inbox: SocketInbox, result: Result<EstablishedPeer, Refusal>): Result<HandshakeResult, Refusal> {
  const earlyMessages = inbox.detach()
  if (result.ok) return success({ ...result.value, earlyMessages })
  socket.on('error', () => {})
  if (socket.readyState === socket.OPEN) socket.send(packFields([HandshakeMessageKind.Refused, result.error.reason, result.error.detail]))
  socket.close(NORMAL_CLOSE, result.error.reason)
  return result
}
