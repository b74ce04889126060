import type { HeaderReader } from '../request/CallerRequest.js'
import type { HomeLink } from '../request/HomeLink.js'
import type { HomeRuns } from '../request/HomeRuns.js'
import type { Intake } from '../request/Intake.js'
import type { KeyedRuns } from '../request/KeyedRuns.js'
import type { EntryContext } from './EntryContext.js'
import type { NodeGate } from './NodeGate.js'

/** Dependencies of the routes of the callers' listener. */
export interface EntryServices {
  readonly context: EntryContext
  readonly gate: NodeGate
  readonly headers: HeaderReader
  readonly intake: Intake
  readonly keyed: KeyedRuns
  readonly homeRuns: HomeRuns
  readonly link: HomeLink
}
