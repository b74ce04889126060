import { z } from 'zod'
import type { ObjectListing, StoredObject } from 'dotterelspur'

/** Schemas and parsers for responses of the object API. Object bodies belong to the callers and are not validated here. */

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

/** Parses the store version at which a key was absent. */
export function parseAbsentVersion (response: unknown): number | undefined {
  return absentSchema.safeParse(response).data?.version
}

/** Parses the current version of a key whose conditional write was refused; null when the key does not exist. */
export function parseConflictVersion (response: unknown): number | null {
  return conflictSchema.safeParse(response).data?.currentVersion ?? null
}

export function parseRetryAfterMs (response: unknown): number {
  return refusalSchema.safeParse(response).data?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS
}

export function parseWriteToken (body: unknown): string | undefined {
  return tokenSchema.safeParse(body).data?.writeToken
}
