import type { EndpointId, EndpointRecord, ServiceId } from 'dotterelspur'

/** Former owners of an address that are remembered: an entry of one that has ended may be written again seconds later. */
const MAX_FORMER = 8
/** Several times the endpoints of the largest fleet, so that addresses are remembered over many restarts. */
const MAX_ADDRESSES = 8_192

interface Address {
  owner: EndpointRecord
  /** Whether the owner's entry stands. An owner without one keeps the address until somebody else is seen there. */
  isListed: boolean
  /** Those who had it before, the last of them at the end. */
  former: readonly EndpointId[]
  /** Another one that is listed there; it gets the address if the owner's entry goes first. */
  waiting: EndpointRecord | null
}

export interface AddressClaim {
  readonly isOwner: boolean
  /** Who had the address before, whether its entry stands or not. */
  readonly displaced: EndpointId | null
}

const OWNED: AddressClaim = { isOwner: true, displaced: null }

/**
 * Who has which address. One process listens at an address, so of two endpoints that are listed at one the elder has
 * ended, though its entry stays for up to three heartbeats. Whatever is asked there meanwhile is answered by its successor:
 * taken for the elder's word it gave a sound group a member too many, and the group was taken apart.
 *
 * The elder is the one that was seen at the address first, not the one whose entry was written first: a heartbeat of an
 * endpoint that has ended may be carried out after its successor registered.
 */
export class AddressOwners {
  private readonly addresses = new Map<string, Address>()

  /** @param isServed whether the manifest names a service: an entry of no service shows nothing about others. */
  constructor (private readonly isServed: (service: ServiceId) => boolean) {}

  /** Whether another endpoint has the address of this one. */
  hasEnded ({ endpoint, address }: Pick<EndpointRecord, 'endpoint' | 'address'>): boolean {
    return this.addresses.get(address)?.former.includes(endpoint) ?? false
  }

  /** An endpoint is listed. */
  claim (record: EndpointRecord): AddressClaim {
    const known = this.addresses.get(record.address)
    if (known === undefined) return this.add(record)
    if (known.owner.endpoint === record.endpoint) return renew(known, record)
    if (known.former.includes(record.endpoint)) return refuse(known, record)
    return this.isServed(record.service) ? displace(known, record) : OWNED
  }

  /** The endpoint's entry is gone; returns who has its address from now on, if somebody else is listed there. */
  release ({ endpoint, address }: EndpointRecord): EndpointRecord | null {
    const known = this.addresses.get(address)
    if (known === undefined) return null
    if (known.waiting?.endpoint === endpoint) known.waiting = null
    if (known.owner.endpoint !== endpoint) return null
    known.isListed = false
    if (known.waiting === null) return null
    passOn(known, known.waiting, null)
    return known.owner
  }

  private add (record: EndpointRecord): AddressClaim {
    this.addresses.set(record.address, { owner: record, isListed: true, former: [], waiting: null })
    this.prune()
    return OWNED
  }

  /** Addresses come and go with the VMs; the oldest ones at which nobody is listed are forgotten. */
  private prune (): void {
    if (this.addresses.size <= MAX_ADDRESSES) return
    for (const [address, { isListed }] of this.addresses) {
      if (isListed) continue
      this.addresses.delete(address)
      return
    }
  }
}

function renew (known: Address, record: EndpointRecord): AddressClaim {
  known.owner = record
  known.isListed = true
  return OWNED
}

/** One that has ended is listed again: it waits, in case that was wrong. */
function refuse (known: Address, record: EndpointRecord): AddressClaim {
  known.waiting = record
  return { isOwner: false, displaced: null }
}

function displace (known: Address, record: EndpointRecord): AddressClaim {
  const { owner, isListed, waiting } = known
  passOn(known, record, isListed ? owner : waiting)
  return { isOwner: true, displaced: owner.endpoint }
}

function passOn (known: Address, owner: EndpointRecord, waiting: EndpointRecord | null): void {
  const former = [...known.former, known.owner.endpoint].filter((endpoint) => endpoint !== owner.endpoint)
  Object.assign(known, { owner, isListed: true, waiting, former: former.slice(-MAX_FORMER) } satisfies Address)
}
