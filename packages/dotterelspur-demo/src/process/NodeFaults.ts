import type { ClusterNode } from './ClusterNode.js'

export enum NodeFaultKind {
  Kill = 'kill',
  Pause = 'pause',
  Resume = 'resume',
  Restart = 'restart',
  /** Graceful stop; the node is not started again. */
  Drain = 'drain',
  /** The node can't reach the platform and its peers; endpoints and callers can still reach it. */
  Isolate = 'isolate',
  None = 'none'
}

type FaultHandler = (node: ClusterNode) => void | Promise<void>

/** Handler of each kind of fault. */
export const NODE_FAULT_HANDLERS: Readonly<Record<NodeFaultKind, FaultHandler>> = {
  [NodeFaultKind.Kill]: (node) => node.process.kill(),
  [NodeFaultKind.Pause]: (node) => { node.process.signal('SIGSTOP') },
  [NodeFaultKind.Resume]: (node) => { node.process.signal('SIGCONT') },
  [NodeFaultKind.Restart]: async (node) => {
    await node.process.kill()
    node.process.start()
  },
  [NodeFaultKind.Drain]: (node) => { node.process.signal('SIGTERM') },
  [NodeFaultKind.Isolate]: (node) => { node.setIsolated(true) },
  [NodeFaultKind.None]: (node) => {
    node.setIsolated(false)
    node.process.signal('SIGCONT')
  }
}
