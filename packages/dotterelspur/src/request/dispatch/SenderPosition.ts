import type { FailureDomainId, NodeId } from '../../process/ids.js'

/** A node's place among all that send requests: of the line from 0 to 1, the part that belongs to its failure domain. */
export interface SenderPosition {
  readonly domainFrom: number
  readonly domainWidth: number
  /** Where in that part it begins; the nodes of a failure domain begin evenly spread. */
  readonly start: number
}

/** A node that sends requests. */
export interface Sender {
  readonly node: NodeId
  readonly failureDomain: FailureDomainId
}

/** The place of `self`, one of `senders`. Nodes that know the same list find places that fit together without talking. */
export function senderPosition (senders: readonly Sender[], self: Sender): SenderPosition {
  const before = senders.filter(({ failureDomain }) => failureDomain < self.failureDomain).length
  const sameDomain = senders.filter(({ failureDomain }) => failureDomain === self.failureDomain)
  const rank = sameDomain.filter(({ node }) => node < self.node).length
  const width = Math.max(1, sameDomain.length)
  const all = Math.max(1, senders.length)
  return { domainFrom: before / all, domainWidth: width / all, start: rank / width }
}
