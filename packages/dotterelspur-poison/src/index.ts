export * from './connection/refusesConnections.js'
export * from './process/PoisonGuard.js'
export * from './request/fingerprint.js'
