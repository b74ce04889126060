export * from './AssignmentRules.js'
export * from './GroupEvidence.js'
export * from './Orders.js'
