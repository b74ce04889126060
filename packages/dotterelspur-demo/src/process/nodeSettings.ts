import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import type { NodePlan } from './ClusterLayout.js'

export interface NodePorts {
  readonly entry: number
  readonly mesh: number
  readonly admin: number
}

export interface NodeSettingsInput {
  readonly plan: NodePlan
  readonly region: string
  readonly ports: NodePorts
  readonly meshAddress: string
  readonly meshKey: string
  readonly adminToken: string
  readonly platformUrl: string
  readonly fencing: string
  /** Grace period of the supervisor; none if absent. */
  readonly stopGraceMs?: number
}

/** Text of a node's settings file. Ports are fixed, so that a restarted node keeps its addresses. */
export function nodeSettingsText (input: NodeSettingsInput): string {
  const { plan, region, ports, meshAddress, meshKey, adminToken, platformUrl, fencing, stopGraceMs } = input
  return `[node]
id = ${plan.id}
region = ${region}
failure-domain = ${plan.failureDomain}
host = ${plan.host}

[entry]
port = ${ports.entry}

[mesh]
port = ${ports.mesh}
advertise = ${meshAddress}
shared-key = ${meshKey}

[admin]
port = ${ports.admin}
token = ${adminToken}

[platform]
url = ${platformUrl}
vm-list-interval-ms = 500

[endpoints]
fencing = ${fencing}
${stopGraceMs === undefined
? ''
: `
[limits]
stop-grace-ms = ${stopGraceMs}
`}`
}

/** Three ports that were free on the host a moment ago. */
export async function findFreePorts (host: string): Promise<NodePorts> {
  const servers = [createServer(), createServer(), createServer()]
  const ports = await Promise.all(servers.map((server) => new Promise<number>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, () => { resolve((server.address() as AddressInfo).port) })
  })))
  await Promise.all(servers.map((server) => new Promise((resolve) => { server.close(resolve) })))
  return { entry: ports[0]!, mesh: ports[1]!, admin: ports[2]! }
}
