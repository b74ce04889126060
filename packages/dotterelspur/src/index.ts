export * from './process/index.js'
export * from './connection/index.js'
export * from './version/index.js'
export * from './request/index.js'
