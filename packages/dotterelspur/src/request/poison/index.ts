export * from './RequestContent.js'
