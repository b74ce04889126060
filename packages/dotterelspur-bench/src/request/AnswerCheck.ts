import { expectedAnswer } from 'dotterelspur-testkit'

/** What decides the answer that a call must get. */
export interface ExpectedAnswer {
  readonly model: string
  /** Versions that may answer: more than one while a rollout runs. */
  readonly versions: readonly string[]
  readonly prompt: string
  readonly seed: number
  readonly maxTokens: number
}

/** The prompt as the engine gets it from a chat of one user message. */
export function chatPrompt (content: string): string {
  return `user: ${content}\n`
}

/** Whether a text is the whole answer to this call and to no other. Undefined when all is well, else what is wrong. */
export function findAnswerFault (text: string, expected: ExpectedAnswer): string | undefined {
  const answers = expected.versions.map((version) => expectedAnswer({ ...expected, version }, expected.maxTokens))
  if (answers.includes(text)) return undefined
  if (answers.some((answer) => answer.startsWith(text))) return `only ${text.length} characters of the answer`
  return `another text: ${JSON.stringify(text.slice(0, 60))}`
}
