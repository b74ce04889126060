export * from './assignment/index.js'
export * from './PlatformObjects.js'
export * from './TeamSettings.js'
export * from './planning/index.js'
