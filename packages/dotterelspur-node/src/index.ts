export {}
export * from './process/admin/index.js'
