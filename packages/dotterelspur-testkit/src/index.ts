export * from './process/SystemClock.js'
export * from './process/platform/index.js'
