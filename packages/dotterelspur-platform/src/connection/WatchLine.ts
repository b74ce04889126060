import { z } from 'zod'
import type { StoredObject } from 'dotterelspur'

/** The possible results of waiting for the next line of a watch. */
export enum WatchLineKind {
  Event = 'event',
  /** No further changes up to `version`; `prefixVersion` is the version of the latest change under the prefix. */
  Heartbeat = 'heartbeat',
  /** The store no longer has all changes after the requested version. */
  Reset = 'reset',
  /** The stream ended. */
  Closed = 'closed',
  /** No line arrived within the timeout. A dead connection may cause no other error. */
  Silent = 'silent',
  /** A line that violates the contract. */
  Malformed = 'malformed'
}

export type WatchLine =
  | { readonly kind: WatchLineKind.Event, readonly object: StoredObject<unknown>, readonly previousVersion?: number }
  | { readonly kind: WatchLineKind.Heartbeat, readonly version: number, readonly prefixVersion: number }
  | { readonly kind: WatchLineKind.Reset | WatchLineKind.Closed | WatchLineKind.Silent | WatchLineKind.Malformed }

const versionSchema = z.number().int().nonnegative()

const lineSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(WatchLineKind.Event),
    object: z.object({ key: z.string(), version: versionSchema, body: z.unknown(), deleted: z.boolean() }),
    previousVersion: versionSchema.optional()
  }),
  z.object({ kind: z.literal(WatchLineKind.Heartbeat), version: versionSchema, prefixVersion: versionSchema }),
  z.object({ kind: z.literal(WatchLineKind.Reset) })
])

/** Parses one line of a watch. */
export function parseWatchLine (text: string): WatchLine {
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data as WatchLine : { kind: WatchLineKind.Malformed }
  } catch {
    return { kind: WatchLineKind.Malformed }
  }
}
