import { z } from 'zod'
import type { TeamObject } from 'dotterelspur'

const teamObjectSchema = z.object({
  writeToken: z.string(),
  team: z.string(),
  text: z.string(),
  appliedBy: z.string(),
  appliedAtWallMs: z.number(),
  changeToken: z.string().optional()
})

/** Reads the body of `teams/<team>` as it came from the store or a peer; undefined when it isn't one. */
export function readTeamObject (body: unknown): TeamObject | undefined {
  return teamObjectSchema.safeParse(body).data
}
