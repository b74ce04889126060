import { NODE_DRAIN_PREFIX, homeOf, type DrainObject, type MeshDocument, type Teardown } from 'dotterelspur'
import type { AdminBackend } from './AdminBackend.js'

/**
 * Drains this process when an operator has asked for it at another node.
 *
 * The request names the process by node and incarnation: the successor on the same VM finds the request still
 * there, and would otherwise drain itself at once, again and again.
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
