import type { NodeId } from '../../process/ids.js'
import type { GossipLink } from './GossipLink.js'
import type { LinkId } from './MeshEffect.js'

/** The established gossip links, at most one for each peer. */
export class LinkTable {
  private byIdMap: ReadonlyMap<LinkId, GossipLink> = new Map()
  private byPeerMap: ReadonlyMap<NodeId, GossipLink> = new Map()

  get byPeer (): ReadonlyMap<NodeId, GossipLink> {
    return this.byPeerMap
  }

  get ids (): ReadonlySet<LinkId> {
    return new Set(this.byIdMap.keys())
  }

  get size (): number {
    return this.byIdMap.size
  }

  all (): GossipLink[] {
    return [...this.byIdMap.values()]
  }

  get (id: LinkId): GossipLink | undefined {
    return this.byIdMap.get(id)
  }

  add (link: GossipLink): void {
    this.byIdMap = new Map(this.byIdMap).set(link.id, link)
    this.byPeerMap = new Map(this.byPeerMap).set(link.peer, link)
  }

  remove (id: LinkId): GossipLink | undefined {
    const link = this.byIdMap.get(id)
    if (link === undefined) return undefined
    const byId = new Map(this.byIdMap)
    const byPeer = new Map(this.byPeerMap)
    byId.delete(id)
    if (byPeer.get(link.peer) === link) byPeer.delete(link.peer)
    this.byIdMap = byId
    this.byPeerMap = byPeer
    return link
  }
}
