import {
  NodeState, type Clock, type GroupId, type GroupPresence, type MeshApi, type MeshDocument, type NodeId, type NodeMember, type ServicePresence, type Teardown
} from 'dotterelspur'

interface HeldPresence {
  readonly presence: GroupPresence
  readonly atMs: number
}

/** In-process mesh: nodes receive each other's messages at once, except where a link is cut. */
export class MeshHub {
  readonly nodes = new Map<NodeId, MemoryMesh>()
  readonly cutNodes = new Set<NodeId>()

  join (member: NodeMember, clock: Clock): MemoryMesh {
    const mesh = new MemoryMesh(member, clock, this)
    const peers = [...this.nodes.values()].filter((peer) => peer.self.node !== member.node)
    this.nodes.set(member.node, mesh)
    for (const peer of peers) {
      for (const document of peer.documents('')) mesh.receive(document)
    }
    this.membersChanged()
    return mesh
  }

  /** Removes a node that has failed from the members. */
  removeNode (node: NodeId): void {
    this.nodes.delete(node)
    this.membersChanged()
  }

  reaches (left: NodeId, right: NodeId): boolean {
    return left === right || (!this.cutNodes.has(left) && !this.cutNodes.has(right))
  }

  /** Reconnects all nodes and synchronizes their documents. */
  heal (): void {
    this.cutNodes.clear()
    const all = [...this.nodes.values()].flatMap((node) => node.documents(''))
    for (const node of this.nodes.values()) {
      for (const document of all) node.receive(document)
    }
  }

  membersChanged (): void {
    for (const node of this.nodes.values()) node.notifyMembers()
  }
}

export class MemoryMesh implements MeshApi {
  private readonly held = new Map<string, MeshDocument>()
  private readonly documentListeners = new Set<{ readonly prefix: string, readonly listener: (document: MeshDocument) => void }>()
  private readonly memberListeners = new Set<(members: readonly NodeMember[]) => void>()
  private readonly evidence = new Map<GroupId, HeldPresence>()
  private storeContactAtMs = 0
  published: readonly GroupPresence[] = []
  publishedServices: readonly ServicePresence[] = []
  /** False while the node's process is paused: it receives no messages. */
  isReceiving = true

  constructor (public self: NodeMember, private readonly clock: Clock, private readonly hub: MeshHub) {}

  members (): readonly NodeMember[] {
    return [...this.hub.nodes.values()].map((node) => node.self)
  }

  registerMembersListener (listener: (members: readonly NodeMember[]) => void): Teardown {
    this.memberListeners.add(listener)
    return () => { this.memberListeners.delete(listener) }
  }

  notifyMembers (): void {
    for (const listener of this.memberListeners) listener(this.members())
  }

  document (key: string): MeshDocument | undefined {
    return this.held.get(key)
  }

  documents (prefix: string): readonly MeshDocument[] {
    return [...this.held.values()].filter((document) => document.key.startsWith(prefix))
  }

  offerDocument (document: MeshDocument): boolean {
    const taken = this.receive(document)
    for (const peer of this.peers()) peer.receive(document)
    return taken
  }

  receive (document: MeshDocument): boolean {
    if ((this.held.get(document.key)?.version ?? 0) >= document.version) return false
    this.held.set(document.key, document)
    for (const { prefix, listener } of [...this.documentListeners]) {
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
    this.published = groups
    this.publishedServices = services
    for (const node of [this, ...this.peers()]) node.receivePresence(groups, this.clock.nowMs())
  }

  groupPresence (): readonly GroupPresence[] {
    const nowMs = this.clock.nowMs()
    return [...this.evidence.values()].map(({ presence, atMs }) => ({ ...presence, ageMs: presence.ageMs + nowMs - atMs }))
  }

  servicePresence (): readonly ServicePresence[] {
    return this.publishedServices
  }

  storeContactAgeMs (): number {
    return this.clock.nowMs() - this.storeContactAtMs
  }

  noteStoreContact (): void {
    this.storeContactAtMs = this.clock.nowMs()
  }

  peerContactAgeMs (): number {
    return this.peers().length > 0 ? 0 : Infinity
  }

  async inForce (): Promise<never[]> {
    return []
  }

  call (): never {
    throw new Error('not used')
  }

  registerCallHandler (): Teardown {
    return () => {}
  }

  announceDraining (): void {
    this.self = { ...this.self, state: NodeState.Draining }
    this.hub.membersChanged()
  }

  async leave (): Promise<void> {
    this.hub.removeNode(this.self.node)
  }

  private receivePresence (groups: readonly GroupPresence[], atMs: number): void {
    for (const presence of groups) {
      const known = this.evidence.get(presence.group)
      const knownAskedMs = known === undefined ? -Infinity : known.atMs - known.presence.ageMs
      if (atMs - presence.ageMs >= knownAskedMs) this.evidence.set(presence.group, { presence, atMs })
    }
  }

  private peers (): readonly MemoryMesh[] {
    return [...this.hub.nodes.values()].filter((node) => node !== this && node.isReceiving && this.hub.reaches(this.self.node, node.self.node))
  }
}
