export * from './EngineApi.js'
export * from './MeshApi.js'
