import { LinkState } from './LinkState.js'

/** What is known of an endpoint that was probed. */
export enum EndpointCondition {
  Reachable = 'reachable',
  /** Accepts connections and answers nothing: its process has paused, and usually goes on. */
  Unresponsive = 'unresponsive',
  /** Lost: it refuses connections, none is established, or it has been unresponsive for too long. */
  Unreachable = 'unreachable'
}

export enum ReportResultKind {
  Answered = 'answered',
  /** Nothing listens at the address, or another endpoint owns it. */
  Gone = 'gone',
  /** No response within the timeout. */
  Silent = 'silent'
}

/** What one round of probes has shown. */
export interface ProbeResult {
  readonly answer: ReportResultKind
  /** Null where the endpoint answered before its link was checked. */
  readonly link: LinkState | null
}

/** Three heartbeats, after which the endpoint list drops the entry of an endpoint that has paused. */
const UNRESPONSIVE_LIMIT_MS = 3_600

/**
 * Judges an endpoint by a round of probes. Load pattern: while many changes are in force at once, the processes of several endpoints
 * pause together for about a second and go on; ending the work of their groups would cut off everything that they were running.
 *
 * @param silentMs time since the first probe that was not answered.
 */
export function judgeProbe ({ answer, link }: ProbeResult, silentMs: number): EndpointCondition {
  if (answer === ReportResultKind.Answered || link === LinkState.LinkAtFault) return EndpointCondition.Reachable
  if (answer === ReportResultKind.Gone || link !== LinkState.Connects) return EndpointCondition.Unreachable
  return silentMs < UNRESPONSIVE_LIMIT_MS ? EndpointCondition.Unresponsive : EndpointCondition.Unreachable
}
