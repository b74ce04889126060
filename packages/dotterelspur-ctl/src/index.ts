export * from './connection/AdminTransport.js'
export * from './process/CommandIo.js'
export * from './process/ExitCode.js'
export * from './process/runCommandLine.js'
