export * from './connection/afterSocketsRead.js'
export * from './connection/GuardedConnection.js'
export * from './process/ListenerGuard.js'
