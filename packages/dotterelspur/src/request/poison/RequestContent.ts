import type { ModelId, ServiceId, WorkspaceId } from '../../process/ids.js'
import { hashText } from '../../process/rendezvous.js'

/** Identifies a request by its content, or a part of prompts by its id, as text of 32 characters. */
export type RequestFingerprint = string

/** The properties by which a repeated request is recognized as the same. */
export interface RequestContent {
  readonly service: ServiceId
  readonly method: string
  /** Path and query. */
  readonly target: string
  /**
   * Null for callers without a key. It is part of the content, so that no caller can get another caller's requests
   * quarantined.
   */
  readonly caller: WorkspaceId | null
  /** Null for plain services. */
  readonly model: ModelId | null
  readonly body: Uint8Array
  /** Ids of the parts of the prompt that other requests may share, in order. Absent if they are not known. */
  readonly promptParts?: readonly string[]
}

/**
 * A cheap preliminary comparison: requests with the same content have the same outline. It leaves out the bytes of the
 * body, which account for most of a fingerprint's cost; the fingerprint is computed only for requests whose outline is
 * recorded.
 */
export function outlineOf ({ service, method, target, caller, model, body }: RequestContent): number {
  return hashText(JSON.stringify([service, method, target, caller, model, body.length]))
}

/** As `outlineOf`, of a part of prompts. */
export function partOutlineOf (service: ServiceId, part: string): number {
  return hashText(JSON.stringify([service, part]))
}
