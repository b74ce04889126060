export * from './AnswerText.js'
