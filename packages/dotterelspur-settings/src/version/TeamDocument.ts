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

/** Parses the body of a `teams/<team>` object received from the store or a peer; undefined when it is invalid. */
export function readTeamObject (body: unknown): TeamObject | undefined {
  return teamObjectSchema.safeParse(body).data
}
