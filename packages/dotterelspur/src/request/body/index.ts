export * from './BodyMemory.js'
export * from './bodyWaitMs.js'
export * from './readBody.js'
export * from './readBytes.js'
