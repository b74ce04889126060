export * from './CallerLoad.js'
export * from './callerLimits.js'
export * from './ConnectionLoad.js'
export * from './ReadTurns.js'
