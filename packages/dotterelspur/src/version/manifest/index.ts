export * from './Manifest.js'
export * from './RouteTable.js'
