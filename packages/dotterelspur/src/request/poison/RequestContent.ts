import type { ModelId, ServiceId, WorkspaceId } from '../../process/ids.js'
import { hashText } from '../../process/rendezvous.js'

/** Names a request by its content, as text of 32 characters. */
export type RequestFingerprint = string

/** What makes a request the same one when it comes again. */
export interface RequestContent {
  readonly service: ServiceId
  readonly method: string
  /** Path and query. */
  readonly target: string
  /** Null for callers without a key. It is part of the content, so that no caller can spoil another's requests. */
  readonly caller: WorkspaceId | null
  /** Null for plain services. */
  readonly model: ModelId | null
  readonly body: Uint8Array
}

/**
 * A cheap first comparison: requests with the same content have the same outline. It leaves the body's bytes out, which take most
 * of the time that a fingerprint takes; that is needed only of a request whose outline is known.
 */
export function outlineOf ({ service, method, target, caller, model, body }: RequestContent): number {
  return hashText(JSON.stringify([service, method, target, caller, model, body.length]))
}
