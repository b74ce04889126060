export * from './EndpointLimits.js'
export * from './LimitSample.js'
export * from './StatedNeed.js'
