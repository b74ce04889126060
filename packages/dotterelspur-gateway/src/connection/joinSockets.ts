import type { Socket } from 'node:net'

/** An empty line, which HTTP servers ignore between requests. */
const RESET_PROBE = '\r\n'

/**
 * Forwards bytes between the node that requested a relay and the endpoint until either closes. An orderly close and a reset by the
 * endpoint are passed on as such, because they decide whether a response without stated length is complete: a reset that is read
 * together with the last bytes is reported as an ordinary end, and is detected by a write. `onOrderlyEnd` runs before an orderly close is
 * passed on.
 */
export function joinSockets (requester: Socket, endpoint: Socket, onOrderlyEnd: () => void): void {
  requester.pipe(endpoint, { end: false })
  endpoint.pipe(requester, { end: false })
  // Runs before the socket ends its own side, after which nothing can be written.
  endpoint.prependListener('end', () => {
    endpoint.write(RESET_PROBE, (error) => {
      if (error !== null && error !== undefined) return reset(requester)
      onOrderlyEnd()
      requester.end()
    })
  })
  endpoint.on('error', () => { reset(requester) })
  endpoint.on('close', () => {
    if (!requester.writableEnded) return reset(requester)
    // Nothing reads from the requester any more, and its close would not be noticed.
    requester.resume()
  })
  // The requester closes only to abandon the exchange, and the endpoint must stop working on it.
  requester.on('end', () => { endpoint.destroy() })
  requester.on('error', () => { endpoint.destroy() })
  requester.on('close', () => { endpoint.destroy() })
}

function reset (socket: Socket): void {
  if (!socket.destroyed) socket.resetAndDestroy()
}
