import { createHash } from 'node:crypto'
import type { RequestContent, RequestFingerprint, ServiceId } from 'dotterelspur'

/** 128 bits, so that it is infeasible to construct another request with the same fingerprint. */
const FINGERPRINT_BYTES = 16

/**
 * Identifies a request by the content that an endpoint receives. The same content has the same fingerprint on every
 * node, regardless of the attempt's id, its deadline or its key; neither the body nor the key can be recovered from it.
 */
export function fingerprintOf (content: RequestContent): RequestFingerprint {
  const { service, method, target, caller, model, body } = content
  // Serialized as JSON, so that characters of one field cannot be mistaken for part of the next one.
  return digest(JSON.stringify([service, method, target, caller, model]), body)
}

/** Begins the fingerprints of parts, which have the length of those of requests. */
const PART_MARK = 'part-'

/** Identifies a part of prompts, the same for all callers: what crashes an endpoint does so whoever sends it. */
export function partFingerprintOf (service: ServiceId, part: string): RequestFingerprint {
  return `${PART_MARK}${digest(JSON.stringify([service, part]), new Uint8Array()).slice(PART_MARK.length)}`
}

export function isPartFingerprint (fingerprint: RequestFingerprint): boolean {
  return fingerprint.startsWith(PART_MARK)
}

function digest (head: string, body: Uint8Array): RequestFingerprint {
  return createHash('sha256').update(head).update(body).digest().subarray(0, FINGERPRINT_BYTES).toString('hex')
}
