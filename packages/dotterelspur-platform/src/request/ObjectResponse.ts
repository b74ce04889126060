import { z } from 'zod'
import type { ObjectListing, StoredObject } from 'dotterelspur'

/** The shapes of the object API's answers. Bodies are the callers' own and aren't looked into here. */

const objectSchema = z.object({
  key: z.string(),
  version: z.number().int().positive(),
  body: z.unknown(),
  deleted: z.boolean()
})

const listingSchema = z.object({
  objects: z.array(objectSchema),
  version: z.number().int().nonnegative()
})

const writtenSchema = z.object({ version: z.number().int().positive() })
const absentSchema = z.object({ version: z.number().int().nonnegative() })
const conflictSchema = z.object({ currentVersion: z.number().int().positive().nullable() })
const refusalSchema = z.object({ retryAfterMs: z.number().nonnegative() })
const tokenSchema = z.object({ writeToken: z.string() })

const DEFAULT_RETRY_AFTER_MS = 1_000

export function parseObject<Body> (response: unknown): StoredObject<Body> | undefined {
  return objectSchema.safeParse(response).data as StoredObject<Body> | undefined
}

export function parseListing<Body> (response: unknown): ObjectListing<Body> | undefined {
  return listingSchema.safeParse(response).data as ObjectListing<Body> | undefined
}

export function parseWrittenVersion (response: unknown): number | undefined {
  return writtenSchema.safeParse(response).data?.version
}

/** The store's version at which a key was absent. */
export function parseAbsentVersion (response: unknown): number | undefined {
  return absentSchema.safeParse(response).data?.version
}

/** The version that stood in the way of a write; null for none. */
export function parseConflictVersion (response: unknown): number | null {
  return conflictSchema.safeParse(response).data?.currentVersion ?? null
}

export function parseRetryAfterMs (response: unknown): number {
  return refusalSchema.safeParse(response).data?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS
}

export function parseWriteToken (body: unknown): string | undefined {
  return tokenSchema.safeParse(body).data?.writeToken
}
