import { Agent, request, type ClientRequest } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import type { CrowdTarget } from './crowdPlans.js'

/** As many uploads of a large body as ordinary callers may begin at once. */
export interface UploadPlan {
  readonly uploads: number
  readonly bodyBytes: number
  /** What callers state as their time limit. */
  readonly timeLimitMs: number
  /** How long each caller waits for its response beyond that. */
  readonly patienceMs: number
  readonly isChunked: boolean
  /** Whether callers keep their connection for a next request, as `Connection: close` tells the node that they do not. */
  readonly keepsAlive: boolean
  readonly contentType: string
  /** The end of each body, after spaces. */
  readonly bodyEnd: string
  /** Headers of each request, such as the id of the attempt. */
  readonly headers: (index: number) => Readonly<Record<string, string>>
}

/** A chunk that is not even with the sizes of reads. */
const CHUNK_BYTES = 64_000

/** Sends the uploads at once, each on its own connection; resolves with the status of each response, or with why there was none. */
export async function uploadTogether (target: CrowdTarget, plan: UploadPlan): Promise<string[]> {
  const agent = new Agent({ keepAlive: plan.keepsAlive })
  const ends = await Promise.all(Array.from({ length: plan.uploads }, async (_unused, index) => await upload(target, plan, index, agent)))
  agent.destroy()
  return ends
}

/** How often each end occurs. */
export function countEnds (ends: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const end of ends) counts[end] = (counts[end] ?? 0) + 1
  return counts
}

async function upload ({ host, port, paths, hostHeader, keyLines }: CrowdTarget, plan: UploadPlan, index: number, agent: Agent): Promise<string> {
  const key = Object.fromEntries(keyLines.trim().split('\r\n').map((line) => line.split(': ') as [string, string]))
  const framing = plan.isChunked ? { 'transfer-encoding': 'chunked' } : { 'content-length': String(plan.bodyBytes) }
  const headers = { host: hostHeader, ...key, 'content-type': plan.contentType, ...framing, ...plan.headers(index) }
  return await new Promise((resolve) => {
    const call = request({ host, port, path: paths.upload, method: 'POST', headers, agent, signal: AbortSignal.timeout(plan.timeLimitMs + plan.patienceMs) }, (response) => {
      response.resume()
      response.on('error', (error) => { resolve(error.message) })
      response.on('end', () => { resolve(String(response.statusCode)) })
    })
    call.on('error', (error: NodeJS.ErrnoException) => { resolve(error.code ?? error.message) })
    send(call, plan).catch((error: Error) => { resolve(error.message) })
  })
}

async function send (call: ClientRequest, { bodyBytes, bodyEnd }: UploadPlan): Promise<void> {
  for (let leftBytes = bodyBytes - bodyEnd.length; leftBytes > 0 && !call.destroyed; leftBytes -= CHUNK_BYTES) {
    call.write(Buffer.alloc(Math.min(CHUNK_BYTES, leftBytes), ' '))
    // Others take their turns in between.
    await delay(0)
  }
  call.end(bodyEnd)
}
