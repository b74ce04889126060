import { expect } from 'chai'
import { NodePhase, NodeSignal, NodeSignalAction, nodeSignalAction } from '../../process/nodeSignals.js'

const { Drain, None } = NodeSignalAction

const EXPECTED: Readonly<Record<NodePhase, Readonly<Record<NodeSignal, NodeSignalAction>>>> = {
  [NodePhase.Starting]: { SIGTERM: Drain, SIGINT: Drain, SIGHUP: None, SIGCONT: None, SIGPIPE: None },
  [NodePhase.Serving]: { SIGTERM: Drain, SIGINT: Drain, SIGHUP: None, SIGCONT: None, SIGPIPE: None },
  [NodePhase.Draining]: { SIGTERM: None, SIGINT: None, SIGHUP: None, SIGCONT: None, SIGPIPE: None }
}

describe('nodeSignalAction', () => {
  for (const [phase, actions] of Object.entries(EXPECTED)) {
    it(`decides for each signal while the node is ${phase}`, () => {
      for (const [signal, action] of Object.entries(actions)) expect(nodeSignalAction(phase as NodePhase, signal as NodeSignal), signal).to.equal(action)
    })
  }
})
