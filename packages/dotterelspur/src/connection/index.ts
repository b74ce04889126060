export * from './EngineApi.js'
export * from './MeshApi.js'
export * from './mesh/index.js'
export * from './RenewablePool.js'
