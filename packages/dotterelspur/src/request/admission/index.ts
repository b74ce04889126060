export * from './AdmissionController.js'
export * from './AdmissionOptions.js'
export * from './AdmissionRequest.js'
export * from './RetryBudget.js'
