export * from './readBody.js'
export * from './readBytes.js'
