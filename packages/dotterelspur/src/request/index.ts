export * from './Outcome.js'
export * from './RequestIdentity.js'
export * from './admission/index.js'
export * from './routing/index.js'
