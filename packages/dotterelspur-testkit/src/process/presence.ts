import type { FastifyReply } from 'fastify'
import type { LoadReport, ServiceStatus, VmStatus } from 'dotterelspur'

/** A presence response: a JSON array in the order of the contract page. */
export type PresenceLine = readonly unknown[]

function loadFields ({ running, waiting, capacity, cacheUsed, ageMs }: LoadReport): PresenceLine {
  return [running, waiting, capacity, Number(cacheUsed.toFixed(2)), ageMs]
}

export function enginePresence (status: VmStatus): PresenceLine {
  const { vm, incarnation, state, group, formation, model, version, adapters, fencing, load } = status
  const loaded = (status.loaded ?? []).map((entry) => [entry.model, entry.version, ...entry.adapters])
  return [vm, incarnation, state, group, formation, model, version, adapters, fencing, ...loadFields(load), loaded]
}

export function servicePresence ({ vm, incarnation, leaving, load }: ServiceStatus): PresenceLine {
  return [vm, incarnation, leaving, ...loadFields(load)]
}

/** Sends the response with only a length header, since every VM is probed twice a second. */
export function sendPresence (reply: FastifyReply, line: PresenceLine): void {
  reply.hijack()
  const body = Buffer.from(JSON.stringify(line))
  const response = reply.raw
  response.sendDate = false
  response.removeHeader('connection')
  response.writeHead(200, { 'content-length': body.length })
  response.end(body)
}
