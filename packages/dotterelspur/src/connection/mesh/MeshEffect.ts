import type { NodeId } from '../../process/ids.js'
import type { MeshDocument } from '../MeshApi.js'
import type { GossipFrame } from './Frame.js'

/** Identifies one established link during its lifetime. */
export type LinkId = number

export enum MeshEffectKind {
  Send = 'send',
  Dial = 'dial',
  Close = 'close',
  MembersChanged = 'members-changed',
  DocumentsChanged = 'documents-changed'
}

/** Why a link is closed; counted in the metrics, and sent to the peer. */
export enum CloseReason {
  Duplicate = 'duplicate',
  Silent = 'silent',
  Unwanted = 'unwanted',
  TooManyLinks = 'too-many-links',
  OldIncarnation = 'old-incarnation',
  Leaving = 'leaving',
  Malformed = 'malformed',
  QueueFull = 'queue-full'
}

/** An action that the caller of the state machine has to perform. */
export type MeshEffect =
  | { readonly kind: MeshEffectKind.Send, readonly link: LinkId, readonly frame: GossipFrame }
  /** `node` is null for an address whose node id is unknown, such as a seed. */
  | { readonly kind: MeshEffectKind.Dial, readonly address: string, readonly node: NodeId | null }
  | { readonly kind: MeshEffectKind.Close, readonly link: LinkId, readonly reason: CloseReason }
  | { readonly kind: MeshEffectKind.MembersChanged }
  | { readonly kind: MeshEffectKind.DocumentsChanged, readonly documents: readonly MeshDocument[] }

/** Collects the effects of one event; the caller of the state machine takes them once the state is committed. */
export class Outbox {
  private effects: MeshEffect[] = []

  send (link: LinkId, frame: GossipFrame): void {
    this.effects.push({ kind: MeshEffectKind.Send, link, frame })
  }

  dial (address: string, node: NodeId | null): void {
    this.effects.push({ kind: MeshEffectKind.Dial, address, node })
  }

  close (link: LinkId, reason: CloseReason): void {
    this.effects.push({ kind: MeshEffectKind.Close, link, reason })
  }

  membersChanged (): void {
    this.effects.push({ kind: MeshEffectKind.MembersChanged })
  }

  documentsChanged (documents: readonly MeshDocument[]): void {
    if (documents.length > 0) this.effects.push({ kind: MeshEffectKind.DocumentsChanged, documents })
  }

  take (): MeshEffect[] {
    const taken = this.effects
    this.effects = []
    return taken
  }
}
