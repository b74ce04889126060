import murmurhash from 'murmurhash'

/** A 32-bit hash of text, the same on every node. */
export function hashText (text: string): number {
  return murmurhash.v3(text)
}

/**
 * Orders `members` by highest random weight for `key` (rendezvous hashing): every node with the same members computes
 * the same order without communication, and removing one member moves only the keys assigned to it.
 */
export function rendezvousOrder<Member extends string> (key: string, members: readonly Member[]): Member[] {
  return members
    .map((member) => ({ member, weight: hashText(`${key}\u0000${member}`) }))
    .sort((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
    .map((ranked) => ranked.member)
}
