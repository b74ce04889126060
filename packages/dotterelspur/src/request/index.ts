export * from './Outcome.js'
export * from './RequestIdentity.js'
