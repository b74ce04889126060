export { explainGroup } from './explainGroup.js'
export { explainIntent } from './explainIntent.js'
export { explainVm } from './explainVm.js'
export type { ExplainInput, WantedModel } from './ExplainInput.js'
