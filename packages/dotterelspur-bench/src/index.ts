export * from './process/BenchReport.js'
export * from './process/Experiment.js'
export * from './process/experiments.js'
