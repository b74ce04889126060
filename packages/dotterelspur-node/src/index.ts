export * from './process/admin/index.js'
export * from './process/loadNodeSettings.js'
export * from './process/Node.js'
export * from './process/NodeError.js'
