import type { IncomingMessage } from 'node:http'
import type { Teardown } from 'dotterelspur'

/**
 * Calls the listener once the caller has closed its side of the connection. The response is closed only some turns of the event
 * loop later, during which requests could still be sent.
 */
export function registerCallerClose ({ socket }: IncomingMessage, listener: () => void): Teardown {
  if (socket.readableEnded || socket.destroyed) listener()
  socket.on('end', listener)
  socket.on('close', listener)
  return () => {
    socket.off('end', listener)
    socket.off('close', listener)
  }
}
