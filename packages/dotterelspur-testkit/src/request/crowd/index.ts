export * from './Crowd.js'
export * from './CrowdKind.js'
export { type CrowdTarget } from './crowdPlans.js'
export * from './uploadTogether.js'
