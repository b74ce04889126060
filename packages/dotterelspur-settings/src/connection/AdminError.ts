import { z } from 'zod'
import { SettingsProblemKind } from '../process/SettingsError.js'

/** The kinds of error that an operator's request can receive. */
export enum AdminErrorKind {
  Unauthorized = 'unauthorized',
  Forbidden = 'forbidden',
  NotFound = 'not-found',
  InvalidRequest = 'invalid-request',
  InvalidSettings = 'invalid-settings',
  /** The object was changed concurrently. Nothing was written; the error contains the current version. */
  Conflict = 'conflict',
  /** The platform's store is unavailable. Nothing was written. */
  StoreUnavailable = 'store-unavailable',
  /** The change may or may not have been written. Sending the same request with the same change token again reports which. */
  OutcomeUnknown = 'outcome-unknown',
  TooLarge = 'too-large',
  Internal = 'internal'
}

const problemSchema = z.object({
  kind: z.enum(SettingsProblemKind),
  file: z.string(),
  line: z.number().nullable(),
  section: z.string().nullable(),
  key: z.string().nullable(),
  found: z.string().nullable(),
  accepted: z.string()
})

const plainErrorKinds = [
  AdminErrorKind.Unauthorized, AdminErrorKind.Forbidden, AdminErrorKind.NotFound, AdminErrorKind.InvalidRequest,
  AdminErrorKind.OutcomeUnknown, AdminErrorKind.TooLarge, AdminErrorKind.Internal
] as const

export const adminErrorSchema = z.union([
  z.object({ kind: z.enum(plainErrorKinds), message: z.string() }),
  z.object({ kind: z.literal(AdminErrorKind.StoreUnavailable), message: z.string(), retryAfterMs: z.number() }),
  z.object({ kind: z.literal(AdminErrorKind.InvalidSettings), message: z.string(), problems: z.array(problemSchema) }),
  z.object({
    kind: z.literal(AdminErrorKind.Conflict),
    message: z.string(),
    /** Null when there are no settings, because they were deleted or have not been created. */
    current: z.object({ version: z.number(), text: z.string(), appliedBy: z.string(), appliedAtWallMs: z.number() }).nullable(),
    /** The refused text, returned so that it is not lost when the operator piped it in. */
    refusedText: z.string().nullable()
  })
])
export type AdminError = z.output<typeof adminErrorSchema>

/** The body of every response that is not a success. */
export const adminErrorReplySchema = z.object({ error: adminErrorSchema })
export type AdminErrorReply = z.output<typeof adminErrorReplySchema>
