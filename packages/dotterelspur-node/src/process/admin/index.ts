export * from './AdminBackend.js'
export { startAdminServer } from './AdminServer.js'
