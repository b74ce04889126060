import type { FailureDomainId, NodeId } from '../../process/ids.js'

/**
 * A node's position among all nodes that send requests: the part of the interval from 0 to 1 that belongs to its
 * failure domain.
 */
export interface SenderPosition {
  readonly domainFrom: number
  readonly domainWidth: number
  /** Where in that part the node's draws start; the nodes of a failure domain start evenly spread. */
  readonly start: number
}

/** A node that sends requests. */
export interface Sender {
  readonly node: NodeId
  readonly failureDomain: FailureDomainId
}

/** The position of `self`, one of `senders`. Nodes with the same list compute consistent positions without coordination. */
export function senderPosition (senders: readonly Sender[], self: Sender): SenderPosition {
  const before = senders.filter(({ failureDomain }) => failureDomain < self.failureDomain).length
  const sameDomain = senders.filter(({ failureDomain }) => failureDomain === self.failureDomain)
  const rank = sameDomain.filter(({ node }) => node < self.node).length
  const width = Math.max(1, sameDomain.length)
  const all = Math.max(1, senders.length)
  return { domainFrom: before / all, domainWidth: width / all, start: rank / width }
}
