/** Enough to hold the slow ones among a route's requests, and few enough to follow a change of their durations within minutes. */
const KEPT = 64

/** How long the last requests of each route took, from their arrival until their response had been sent. */
export class RouteDurations {
  private readonly recentMs = new Map<string, number[]>()

  note (route: string, tookMs: number): void {
    const recent = this.recentMs.get(route) ?? []
    this.recentMs.set(route, recent)
    recent.push(tookMs)
    if (recent.length > KEPT) recent.shift()
  }

  /** Null for a route none of whose requests has been completed. */
  longestMs (route: string): number | null {
    const recent = this.recentMs.get(route)
    return recent === undefined ? null : Math.max(...recent)
  }

  /** Forgets the routes that are not among `names`. */
  retain (names: ReadonlySet<string>): void {
    for (const route of [...this.recentMs.keys()].filter((known) => !names.has(known))) this.recentMs.delete(route)
  }
}
