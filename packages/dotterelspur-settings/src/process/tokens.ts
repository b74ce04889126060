import { createHash, timingSafeEqual } from 'node:crypto'

const SHA256_HEX_PATTERN = /^[0-9a-f]{64}$/

/** The SHA-256 of a bearer token, in hex: the only form in which settings and memory keep one. */
export function hashToken (token: string): string {
  return createHash('sha256').update(token, 'utf8').digest('hex')
}

/** Whether text has the shape of `hashToken`'s result. */
export function isTokenHash (text: string): boolean {
  return SHA256_HEX_PATTERN.test(text)
}

/**
 * Whether `token` is one of those whose hashes are given. Every hash is compared, each in constant time: a
 * caller that tries tokens and measures the answer's time would otherwise learn how much of a guess fits.
 */
export function tokenMatches (token: string, hashes: readonly string[]): boolean {
  const presented = createHash('sha256').update(token, 'utf8').digest()
  let matched = false
  for (const hash of hashes) {
    if (!isTokenHash(hash)) continue
    if (timingSafeEqual(presented, Buffer.from(hash, 'hex'))) matched = true
  }
  return matched
}

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/i

/** The token of an `Authorization: Bearer …` header; undefined when there is none or it is longer than 512 characters. */
export function readBearerToken (header: string | undefined): string | undefined {
  if (header === undefined) return undefined
  return BEARER_PATTERN.exec(header)?.[1]
}
