import {
  CallEventKind, MeshErrorKind, NodeState, homeOf,
  type CallEvent, type CallHandler, type GroupPresence, type HomeId, type InForceReport, type MeshApi, type MeshDocument, type NodeMember, type ServicePresence, type Teardown
} from 'dotterelspur'

const ALONE: NodeMember = {
  node: 'node-1',
  incarnation: 1,
  region: 'region-1',
  failureDomain: 'domain-1',
  meshAddress: '127.0.0.1:1',
  entryAddress: 'http://127.0.0.1:2',
  adminAddress: 'http://127.0.0.1:3',
  state: NodeState.Alive
}

/** A member of a MemoryMesh; fields that are given replace the defaults. */
export function createMember (changes: Partial<NodeMember> = {}): NodeMember {
  return { ...ALONE, ...changes }
}

/**
 * A MeshApi without I/O for other packages' tests: the view of one node, whose members, evidence and ages are set by the
 * test. Calls reach only the handlers registered here.
 */
export class MemoryMesh implements MeshApi {
  private held = new Map<string, MeshDocument>()
  private groups: readonly GroupPresence[] = []
  private services: readonly ServicePresence[] = []
  private readonly handlers = new Map<string, CallHandler>()
  private readonly documentListeners = new Set<{ prefix: string, listener: (document: MeshDocument) => void }>()
  private readonly memberListeners = new Set<(members: readonly NodeMember[]) => void>()
  /** Versions by key that other nodes report; a node without an entry does not answer. */
  readonly reports = new Map<string, readonly InForceReport[]>()
  storeAgeMs = 0
  peerAgeMs = 0

  constructor (private ownMember: NodeMember = createMember(), private others: readonly NodeMember[] = []) {}

  get self (): NodeMember {
    return this.ownMember
  }

  setOthers (others: readonly NodeMember[]): void {
    this.others = others
    for (const listener of this.memberListeners) listener(this.members())
  }

  members (): readonly NodeMember[] {
    return [this.ownMember, ...this.others]
  }

  registerMembersListener (listener: (members: readonly NodeMember[]) => void): Teardown {
    this.memberListeners.add(listener)
    return () => { this.memberListeners.delete(listener) }
  }

  document (key: string): MeshDocument | undefined {
    return this.held.get(key)
  }

  documents (prefix: string): readonly MeshDocument[] {
    return [...this.held.values()].filter((document) => document.key.startsWith(prefix))
  }

  offerDocument (document: MeshDocument): boolean {
    if (document.version <= (this.held.get(document.key)?.version ?? 0)) return false
    this.held.set(document.key, document)
    for (const { prefix, listener } of this.documentListeners) {
      if (document.key.startsWith(prefix)) listener(document)
    }
    return true
  }

  registerDocumentListener (prefix: string, listener: (document: MeshDocument) => void): Teardown {
    const registration = { prefix, listener }
    this.documentListeners.add(registration)
    return () => { this.documentListeners.delete(registration) }
  }

  publishPresence (groups: readonly GroupPresence[], services: readonly ServicePresence[]): void {
    this.groups = groups
    this.services = services
  }

  groupPresence (): readonly GroupPresence[] {
    return this.groups
  }

  servicePresence (): readonly ServicePresence[] {
    return this.services
  }

  storeContactAgeMs (): number {
    return this.storeAgeMs
  }

  noteStoreContact (): void {
    this.storeAgeMs = 0
  }

  peerContactAgeMs (): number {
    return this.peerAgeMs
  }

  async inForce (key: string): Promise<readonly InForceReport[]> {
    const own = this.held.get(key)
    const others = this.reports.get(key) ?? []
    return own === undefined ? others : [{ node: this.ownMember.node, version: own.version }, ...others]
  }

  async * call (home: HomeId, method: string, request: unknown, signal: AbortSignal): AsyncGenerator<CallEvent> {
    const handler = this.handlers.get(method)
    if (home !== homeOf(this.ownMember) || handler === undefined) {
      yield { kind: CallEventKind.Error, error: { kind: MeshErrorKind.UnknownNode, reason: `${home} has no handler ${method}` } }
      return
    }
    for await (const message of handler(request, this.ownMember.node, signal)) yield { kind: CallEventKind.Message, message }
    yield { kind: CallEventKind.End }
  }

  registerCallHandler (method: string, handler: CallHandler): Teardown {
    this.handlers.set(method, handler)
    return () => { this.handlers.delete(method) }
  }

  announceDraining (): void {
    this.ownMember = { ...this.ownMember, state: NodeState.Draining }
  }

  async leave (): Promise<void> {
    this.ownMember = { ...this.ownMember, state: NodeState.Left }
  }
}
