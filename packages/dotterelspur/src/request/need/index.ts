export * from './StatedNeed.js'
