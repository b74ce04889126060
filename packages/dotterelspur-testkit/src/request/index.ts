export * from './AnswerText.js'
export * from './AnswerBook.js'
