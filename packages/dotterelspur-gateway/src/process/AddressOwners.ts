import type { EndpointId, EndpointRecord, ServiceId } from 'dotterelspur'

/** Former owners of an address that are remembered: an entry of one that has ended may be written again seconds later. */
const MAX_PREVIOUS_OWNERS = 8
/** Several times the endpoints of the largest fleet, so that addresses are remembered over many restarts. */
const MAX_ADDRESSES = 8_192

interface AddressState {
  owner: EndpointRecord
  /** Whether the owner's entry stands. An owner without one keeps the address until somebody else is seen there. */
  isListed: boolean
  /** Those who had it before, the last of them at the end. */
  previousOwners: readonly EndpointId[]
  /** Another one that is listed there; it gets the address if the owner's entry goes first. */
  nextOwner: EndpointRecord | null
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
  private readonly addresses = new Map<string, AddressState>()

  /** @param isServed whether the manifest names a service: an entry of no service shows nothing about others. */
  constructor (private readonly isServed: (service: ServiceId) => boolean) {}

  /** Whether another endpoint has the address of this one. */
  isSuperseded ({ endpoint, address }: Pick<EndpointRecord, 'endpoint' | 'address'>): boolean {
    return this.addresses.get(address)?.previousOwners.includes(endpoint) ?? false
  }

  /** An endpoint is listed. */
  claim (record: EndpointRecord): AddressClaim {
    const state = this.addresses.get(record.address)
    if (state === undefined) return this.add(record)
    if (state.owner.endpoint === record.endpoint) return renew(state, record)
    if (state.previousOwners.includes(record.endpoint)) return refuse(state, record)
    return this.isServed(record.service) ? takeOver(state, record) : OWNED
  }

  /** The endpoint's entry is gone; returns who has its address from now on, if somebody else is listed there. */
  release ({ endpoint, address }: EndpointRecord): EndpointRecord | null {
    const state = this.addresses.get(address)
    if (state === undefined) return null
    if (state.nextOwner?.endpoint === endpoint) state.nextOwner = null
    if (state.owner.endpoint !== endpoint) return null
    state.isListed = false
    if (state.nextOwner === null) return null
    transferTo(state, state.nextOwner, null)
    return state.owner
  }

  private add (record: EndpointRecord): AddressClaim {
    this.addresses.set(record.address, { owner: record, isListed: true, previousOwners: [], nextOwner: null })
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

function renew (state: AddressState, record: EndpointRecord): AddressClaim {
  state.owner = record
  state.isListed = true
  return OWNED
}

/** One that has ended is listed again: it waits, in case that was wrong. */
function refuse (state: AddressState, record: EndpointRecord): AddressClaim {
  state.nextOwner = record
  return { isOwner: false, displaced: null }
}

function takeOver (state: AddressState, record: EndpointRecord): AddressClaim {
  const { owner, isListed, nextOwner } = state
  transferTo(state, record, isListed ? owner : nextOwner)
  return { isOwner: true, displaced: owner.endpoint }
}

function transferTo (state: AddressState, owner: EndpointRecord, nextOwner: EndpointRecord | null): void {
  const former = [...state.previousOwners, state.owner.endpoint].filter((endpoint) => endpoint !== owner.endpoint)
  Object.assign(state, { owner, isListed: true, nextOwner, previousOwners: former.slice(-MAX_PREVIOUS_OWNERS) } satisfies AddressState)
}
