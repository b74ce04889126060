import { request } from 'undici'
import type { LoadTarget, TargetService } from './LoadTarget.js'

const NOT_FOUND = 404

/** Determines by test calls which team may call which service: a team's call of another team's service responds with not found. */
export async function assignServices (target: LoadTarget): Promise<LoadTarget> {
  const services: TargetService[] = []
  for (const service of target.services) {
    for (const { team, token } of target.teams) {
      if (await answers(target.entries[0]!, service, token)) services.push({ ...service, team })
    }
  }
  return { ...target, services }
}

async function answers (entry: string, service: TargetService, token: string): Promise<boolean> {
  const reply = await request(`${entry}${service.safePath}`, { headers: { authorization: `Bearer ${token}` } })
  await reply.body.dump()
  return reply.statusCode !== NOT_FOUND
}
