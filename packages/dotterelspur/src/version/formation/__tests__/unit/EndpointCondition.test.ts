import { expect } from 'chai'
import { EndpointCondition, judgeProbe, ReportResultKind } from '../../EndpointCondition.js'
import { LinkState } from '../../LinkState.js'

const LIMIT_MS = 3_600

interface Case {
  readonly name: string
  readonly answer: ReportResultKind
  readonly link: LinkState | null
  readonly silentMs: number
  readonly expected: EndpointCondition
}

const CASES: readonly Case[] = [
  { name: 'answers', answer: ReportResultKind.Answered, link: null, silentMs: 5, expected: EndpointCondition.Reachable },
  { name: 'answers after a long silence', answer: ReportResultKind.Answered, link: null, silentMs: LIMIT_MS, expected: EndpointCondition.Reachable },
  { name: 'refuses connections', answer: ReportResultKind.Gone, link: LinkState.Unconnected, silentMs: 5, expected: EndpointCondition.Unreachable },
  { name: 'is replaced by another one at its address', answer: ReportResultKind.Gone, link: LinkState.Connects, silentMs: 5, expected: EndpointCondition.Unreachable },
  { name: 'is not connected by anybody', answer: ReportResultKind.Silent, link: LinkState.Unconnected, silentMs: 350, expected: EndpointCondition.Unreachable },
  { name: 'accepts connections and answers nothing', answer: ReportResultKind.Silent, link: LinkState.Connects, silentMs: 350, expected: EndpointCondition.Unresponsive },
  { name: 'has answered nothing for almost three heartbeats', answer: ReportResultKind.Silent, link: LinkState.Connects, silentMs: LIMIT_MS - 1, expected: EndpointCondition.Unresponsive },
  { name: 'has answered nothing for three heartbeats', answer: ReportResultKind.Silent, link: LinkState.Connects, silentMs: LIMIT_MS, expected: EndpointCondition.Unreachable },
  { name: 'is silent to this node, and connected by others', answer: ReportResultKind.Silent, link: LinkState.LinkAtFault, silentMs: 350, expected: EndpointCondition.Reachable },
  { name: 'refuses this node, and is connected by others', answer: ReportResultKind.Gone, link: LinkState.LinkAtFault, silentMs: 5, expected: EndpointCondition.Reachable }
]

describe('judgeProbe', () => {
  // Guards against groups that are broken up, or left broken: a process that has paused is taken for lost, or a lost one for paused.
  for (const { name, answer, link, silentMs, expected } of CASES) {
    it(`finds an endpoint ${expected} that ${name}`, () => {
      expect(judgeProbe({ answer, link }, silentMs)).to.equal(expected)
    })
  }
})
