import type { EndpointId, EndpointRecord, ServiceId } from 'dotterelspur'

/** Previous owners of an address that are kept: the entry of a terminated endpoint may be written again seconds later. */
const MAX_PREVIOUS_OWNERS = 8
/** Several times the endpoint count of the largest fleet, so that addresses are kept across many restarts. */
const MAX_ADDRESSES = 8_192

interface AddressState {
  owner: EndpointRecord
  /** Whether the owner's entry is in the store. An owner without an entry keeps the address until another endpoint registers there. */
  isListed: boolean
  /** Previous owners, the most recent one last. */
  previousOwners: readonly EndpointId[]
  /** Another endpoint listed at the address; it becomes the owner if the owner's entry is removed first. */
  nextOwner: EndpointRecord | null
}

export interface AddressClaim {
  readonly isOwner: boolean
  /** The previous owner, whether its entry is in the store or not. */
  readonly displaced: EndpointId | null
}

const OWNED: AddressClaim = { isOwner: true, displaced: null }

/**
 * Tracks which endpoint owns each address. One process listens at an address, so of two endpoints listed at the same
 * address the older one has terminated, although its entry stays for up to three heartbeats. Requests sent to that
 * address meanwhile are answered by the successor. Attributing such a response to the terminated endpoint gave a
 * healthy group a member too many, and the group was dissolved.
 *
 * The older endpoint is the one first observed at the address, not the one whose entry was written first: a heartbeat
 * of a terminated endpoint may be applied after its successor has registered.
 */
export class AddressOwners {
  private readonly addresses = new Map<string, AddressState>()

  /** @param isServed whether the manifest names a service; an entry of an unknown service is no evidence about other endpoints. */
  constructor (private readonly isServed: (service: ServiceId) => boolean) {}

  /** Whether another endpoint has taken over the address of this one. */
  isSuperseded ({ endpoint, address }: Pick<EndpointRecord, 'endpoint' | 'address'>): boolean {
    return this.addresses.get(address)?.previousOwners.includes(endpoint) ?? false
  }

  /** Records that an endpoint is listed at its address. */
  claim (record: EndpointRecord): AddressClaim {
    const state = this.addresses.get(record.address)
    if (state === undefined) return this.add(record)
    if (state.owner.endpoint === record.endpoint) return renew(state, record)
    if (state.previousOwners.includes(record.endpoint)) return refuse(state, record)
    return this.isServed(record.service) ? takeOver(state, record) : OWNED
  }

  /**
   * Records that the endpoint's entry was removed; returns the endpoint that owns the address from now on, if another
   * one is listed there.
   */
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

  /** Evicts the oldest address without a listed endpoint, because addresses change as VMs are replaced. */
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

/** A superseded endpoint is listed again: it is kept as the next owner, in case the earlier conclusion was wrong. */
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
