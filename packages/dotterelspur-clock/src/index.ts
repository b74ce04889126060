export * from './SystemClock.js'
