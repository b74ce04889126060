import { mergeTeardowns, type Teardown } from 'dotterelspur'

/** Phases of a node process, in order. */
export enum NodePhase {
  /** Its listeners are being opened. */
  Starting = 'starting',
  Serving = 'serving',
  Draining = 'draining'
}

/** Signals that would otherwise end the process, or that supervisors send beside them. */
export enum NodeSignal {
  Terminate = 'SIGTERM',
  Interrupt = 'SIGINT',
  Hangup = 'SIGHUP',
  Continue = 'SIGCONT',
  Pipe = 'SIGPIPE'
}

export enum NodeSignalAction {
  /** Drain the node, once it has started. */
  Drain = 'drain',
  None = 'none'
}

type ActionsBySignal = Readonly<Record<NodeSignal, NodeSignalAction>>

/** SIGHUP does nothing: a node reads its settings when it starts, and follows documents of the store without signals. */
const NO_ACTION: ActionsBySignal = {
  [NodeSignal.Terminate]: NodeSignalAction.None,
  [NodeSignal.Interrupt]: NodeSignalAction.None,
  [NodeSignal.Hangup]: NodeSignalAction.None,
  [NodeSignal.Continue]: NodeSignalAction.None,
  [NodeSignal.Pipe]: NodeSignalAction.None
}

const DRAINS: ActionsBySignal = { ...NO_ACTION, [NodeSignal.Terminate]: NodeSignalAction.Drain, [NodeSignal.Interrupt]: NodeSignalAction.Drain }

const ACTIONS: Readonly<Record<NodePhase, ActionsBySignal>> = {
  [NodePhase.Starting]: DRAINS,
  [NodePhase.Serving]: DRAINS,
  // A signal that is repeated must not cut off the requests that the drain completes.
  [NodePhase.Draining]: NO_ACTION
}

export function nodeSignalAction (phase: NodePhase, signal: NodeSignal): NodeSignalAction {
  return ACTIONS[phase][signal]
}

/** Calls `listener` for each signal that the process receives from now on; none of them ends it any more. */
export function registerNodeSignals (listener: (signal: NodeSignal) => void): Teardown {
  return mergeTeardowns(...Object.values(NodeSignal).map((signal) => {
    const receive = (): void => { listener(signal) }
    process.on(signal, receive)
    return () => { process.off(signal, receive) }
  }))
}
