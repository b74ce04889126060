export * from './connection/refusesConnections.js'
export * from './request/fingerprint.js'
