import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import type { LedgerRow } from 'dotterelspur-testkit'
import { FaultTargetKind } from './FaultSchedule.js'
import type { FaultOrder } from './FaultSchedule.js'

export interface ControlVm {
  readonly vm: string
  readonly failureDomain: string
  readonly fabricDomain: string
  readonly group: string | null
  readonly formation: number
  readonly state: string
}

const FAULT_PATHS: Readonly<Record<FaultTargetKind, (target: string) => string>> = {
  [FaultTargetKind.Vm]: (target) => `/vms/${encodeURIComponent(target)}/fault`,
  [FaultTargetKind.FabricDomain]: (target) => `/fabric-domains/${encodeURIComponent(target)}/fault`,
  [FaultTargetKind.Platform]: () => '/platform/fault',
  [FaultTargetKind.Node]: (target) => `/nodes/${target}/fault`
}

const ATTEMPTS = 3
const RETRY_MS = 200

/** Client of the demo's control server, which injects faults into stand-ins and node processes. */
export class ControlClient {
  constructor (private readonly url: string) {}

  async vms (): Promise<readonly ControlVm[]> {
    return await this.read<readonly ControlVm[]>('/vms')
  }

  async ledger (): Promise<readonly LedgerRow[]> {
    return await this.read<readonly LedgerRow[]>('/ledger')
  }

  async fault (kind: FaultTargetKind, target: string, order: FaultOrder): Promise<void> {
    const path = FAULT_PATHS[kind](target)
    const reply = await request(`${this.url}${path}`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(order) })
    const text = await reply.body.text()
    if (reply.statusCode >= 400) throw new Error(`POST ${path} ${JSON.stringify(order)}: ${reply.statusCode} ${text}`)
  }

  private async read<Value> (path: string): Promise<Value> {
    for (let attempt = 1; ; attempt++) {
      try {
        const reply = await request(`${this.url}${path}`)
        return await reply.body.json() as Value
      } catch (error) {
        if (attempt === ATTEMPTS) throw error
        await delay(RETRY_MS)
      }
    }
  }
}
