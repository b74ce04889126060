export * from './connection/GuardedConnection.js'
export * from './process/ListenerGuard.js'
