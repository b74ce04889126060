export * from './process/ClientOptions.js'
export * from './process/DotterelspurClient.js'
export * from './request/CallFailure.js'
export * from './request/decideRetry.js'
