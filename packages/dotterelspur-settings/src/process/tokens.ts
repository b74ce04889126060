import { createHash, timingSafeEqual } from 'node:crypto'

const SHA256_HEX_PATTERN = /^[0-9a-f]{64}$/

/** The SHA-256 of a bearer token, in hex: the only form in which teams' settings and nodes keep tokens for comparison. */
export function hashToken (token: string): string {
  return createHash('sha256').update(token, 'utf8').digest('hex')
}

/** Whether the text has the format of `hashToken`'s result. */
export function isTokenHash (text: string): boolean {
  return SHA256_HEX_PATTERN.test(text)
}

/**
 * Whether the hash of `token` is one of `hashes`. Every hash is compared, each in constant time: otherwise a caller
 * that tries tokens and measures response times could find out how much of a guess matches.
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
