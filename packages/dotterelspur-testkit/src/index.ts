export * from './process/index.js'
export * from './process/platform/index.js'
export * from './request/index.js'
