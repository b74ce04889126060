import { createHash } from 'node:crypto'
import type { RequestContent, RequestFingerprint } from 'dotterelspur'

/** 128 bits, so that it is infeasible to construct another request with the same fingerprint. */
const FINGERPRINT_BYTES = 16

/**
 * Identifies a request by the content that an endpoint receives. The same content has the same fingerprint on every
 * node, regardless of the attempt's id, its deadline or its key; neither the body nor the key can be recovered from it.
 */
export function fingerprintOf (content: RequestContent): RequestFingerprint {
  const { service, method, target, caller, model, body } = content
  const hash = createHash('sha256')
  // Serialized as JSON, so that characters of one field cannot be mistaken for part of the next one.
  hash.update(JSON.stringify([service, method, target, caller, model]))
  hash.update(body)
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('hex')
}
