/** Calls back once the process has accepted the connections, and read the bytes, that had arrived before the call. */
export function afterSocketsRead (callback: () => void): void {
  // The first of these callbacks may run in the turn of the event loop whose sockets have been looked at already.
  setImmediate(() => { setImmediate(callback) })
}
