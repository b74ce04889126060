import { createHash } from 'node:crypto'
import type { RequestContent, RequestFingerprint } from 'dotterelspur'

/** 128 bits: nobody finds another content with the same fingerprint. */
const FINGERPRINT_BYTES = 16

/**
 * Names a request by what an endpoint gets of it. The same content has the same fingerprint on every node, whatever the id
 * of the attempt, its deadline or its key; neither body nor key can be read from it.
 */
export function fingerprintOf (content: RequestContent): RequestFingerprint {
  const { service, method, target, caller, model, body } = content
  const hash = createHash('sha256')
  // As JSON, so that no field can take over a part of its neighbour's.
  hash.update(JSON.stringify([service, method, target, caller, model]))
  hash.update(body)
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('hex')
}
