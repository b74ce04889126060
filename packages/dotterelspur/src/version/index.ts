export * from './PlatformObjects.js'
export * from './TeamSettings.js'
