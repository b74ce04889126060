export * from './EvacuationTable.js'
export * from './PeakEndpoints.js'
export * from './plannableEndpoints.js'
