export * from './AnswerText.js'
export * from './ExpectedAnswers.js'
export * from './callPatiently.js'
export * from './crowd/index.js'
