import type { AssignmentObject } from 'dotterelspur'
import type { Cluster } from 'dotterelspur-demo'
import { request } from 'undici'

/** What one node says of one group at its operators' listener. */
export interface GroupLine {
  readonly group: string
  readonly formation: number
  readonly serving: boolean
}

const POLL_MS = 20
const ASSIGNMENT_PREFIX = 'assignments/'

/** Looks at a cluster from outside: what each node would dispatch to, and what the platform's objects say. */
export class GroupWatch {
  constructor (private readonly cluster: Cluster) {}

  assignments (): readonly AssignmentObject[] {
    return this.cluster.platform.objects.list(ASSIGNMENT_PREFIX).objects.map((object) => object.body as AssignmentObject)
  }

  /** The group as each running node sees it; a node that doesn't answer is left out. */
  async seenBy (group: string): Promise<ReadonlyArray<GroupLine | undefined>> {
    const running = this.cluster.nodes.filter((node) => node.process.running)
    const answers = await Promise.all(running.map((node) => this.groupsAt(node.admin)))
    return answers.flatMap((lines) => lines === null ? [] : [lines.find((line) => line.group === group)])
  }

  /** Milliseconds until the condition holds. */
  async until (what: string, condition: () => Promise<boolean> | boolean, limitMs: number): Promise<number> {
    const startMs = performance.now()
    while (!await condition()) {
      if (performance.now() - startMs > limitMs) throw new Error(`not within ${limitMs} ms: ${what}`)
      await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
    }
    return performance.now() - startMs
  }

  private async groupsAt (admin: string): Promise<readonly GroupLine[] | null> {
    try {
      const answer = await request(`${admin}/admin/groups`, { headers: { authorization: `Bearer ${this.cluster.layout.adminToken}` } })
      return (await answer.body.json() as { readonly groups: readonly GroupLine[] }).groups
    } catch {
      return null
    }
  }
}
