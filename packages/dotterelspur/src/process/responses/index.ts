export * from './responseLoadLimits.js'
export * from './ResponseTotal.js'
