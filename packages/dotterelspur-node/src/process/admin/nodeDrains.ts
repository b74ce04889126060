import { NODE_DRAIN_PREFIX, homeOf, type DrainObject, type MeshDocument, type Teardown } from 'dotterelspur'
import type { AdminBackend } from './AdminBackend.js'

/**
 * Drains this process when an operator has requested it through another node.
 *
 * The request names the process by node and incarnation. The request outlives the process: without the incarnation,
 * each later process of the node would find it and drain itself again.
 */
export function registerNodeDrains (backend: AdminBackend): Teardown {
  const { mesh } = backend
  const key = NODE_DRAIN_PREFIX + mesh.self.node
  const handleDocument = (document: MeshDocument): void => {
    const drain = document.body as DrainObject | null
    if (document.key !== key || document.deleted || drain?.target !== homeOf(mesh.self)) return
    backend.drainSelf(`${drain.requestedBy}: ${drain.reason}`)
  }
  const existing = mesh.document(key)
  if (existing !== undefined) handleDocument(existing)
  return mesh.registerDocumentListener(key, handleDocument)
}
