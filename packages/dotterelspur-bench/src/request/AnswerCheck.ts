import { expectedAnswer } from 'dotterelspur-testkit'

/** The inputs that determine the answer to a call. */
export interface ExpectedAnswer {
  readonly model: string
  /** Versions that may answer; several during a rollout. */
  readonly versions: readonly string[]
  readonly prompt: string
  readonly seed: number
  readonly maxTokens: number
}

/** The prompt that the engine receives for a chat with one user message. */
export function chatPrompt (content: string): string {
  return `user: ${content}\n`
}

/** Checks that a text is the whole answer to this call. Returns undefined if it is, otherwise a description of the difference. */
export function findAnswerFault (text: string, expected: ExpectedAnswer): string | undefined {
  const answers = expected.versions.map((version) => expectedAnswer({ ...expected, version }, expected.maxTokens))
  if (answers.includes(text)) return undefined
  if (answers.some((answer) => answer.startsWith(text))) return `only ${text.length} characters of the answer`
  return `another text: ${JSON.stringify(text.slice(0, 60))}`
}
