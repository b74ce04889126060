export * from './AnswerText.js'
export * from './ExpectedAnswers.js'
