export * from './PoisonLedger.js'
export * from './PoisonRecord.js'
export * from './RequestContent.js'
export * from './assessPoison.js'
