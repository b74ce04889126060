import { expect } from 'chai'
import OpenAI from 'openai'
import { ANSWER, breaksAfter } from '../fixtures/FakeEngines.js'
import { startHarness, type Harness, type HarnessOptions, TOKENS, callEntry, CHAT_BODY } from '../fixtures/harness.js'

const WHOLE = ANSWER.join('')

describe('createEntry', () => {
  let harness: Harness
  const start = async (options: HarnessOptions = {}): Promise<Harness> => {
    harness = await startHarness(options)
    return harness
  }

  afterEach(() => harness.stop())

  describe('with the openai package', () => {
    const connect = async (options: HarnessOptions = {}): Promise<OpenAI> => {
      await start(options)
      return new OpenAI({ baseURL: `${harness.nodes[0]!.url}/v1`, apiKey: TOKENS.tradeline, maxRetries: 0 })
    }
    const messages = [{ role: 'user' as const, content: 'sum up my trips' }]

    it('answers a chat completion', async () => {
      const client = await connect()
      const answer = await client.chat.completions.create({ model: 'summary', messages })
      expect(answer.choices[0]!.message.content).to.equal(WHOLE)
      expect(answer.choices[0]!.finish_reason).to.equal('stop')
      expect(answer.usage).to.deep.equal({ prompt_tokens: 5, completion_tokens: 6, total_tokens: 11 })
      expect(answer._request_id).to.be.a('string')
    })

    it('streams a chat completion with its usage', async () => {
      const client = await connect()
      const stream = await client.chat.completions.create({ model: 'summary:short', messages, stream: true, stream_options: { include_usage: true } })
      let text = ''
      let total = 0
      for await (const chunk of stream) {
        text += chunk.choices[0]?.delta.content ?? ''
        total = chunk.usage?.total_tokens ?? total
      }
      expect({ text, total }).to.deep.equal({ text: WHOLE, total: 11 })
      expect(harness.engines.runs[0]!.request.adapter).to.equal('short')
    })

    it('answers and streams a completion', async () => {
      const client = await connect()
      const answer = await client.completions.create({ model: 'summary', prompt: 'trips' })
      expect(answer.choices[0]!.text).to.equal(WHOLE)
      let text = ''
      for await (const chunk of await client.completions.create({ model: 'summary', prompt: 'trips', stream: true })) text += chunk.choices[0]!.text
      expect(text).to.equal(WHOLE)
    })

    it('lists only the models of the caller\'s team', async () => {
      const client = await connect()
      const names: string[] = []
      for await (const model of client.models.list()) names.push(model.id)
      expect(names).to.deep.equal(['summary', 'summary:short'])
    })

    it('delivers one whole stream when the first replica dies in the middle of the answer', async () => {
      const client = await connect()
      harness.engines.next.push(breaksAfter(3))
      let text = ''
      for await (const chunk of await client.chat.completions.create({ model: 'summary', messages, stream: true })) text += chunk.choices[0]?.delta.content ?? ''
      expect(text).to.equal(WHOLE)
      expect(harness.engines.runs.map((run) => run.request.resumeOffset)).to.deep.equal([0, 2])
    })
  })

  it('passes a plain service\'s response through', async () => {
    await start()
    const response = await callEntry(harness.nodes[0]!, '/services/desk/loans/7?x=1', { body: { title: 'Rain' } })
    expect(response.status).to.equal(201)
    expect(await response.json()).to.deep.equal({ call: 1 })
    expect(harness.services.calls[0]!.path).to.equal('/loans/7?x=1')
  })

  it('answers a chat completion without streaming', async () => {
    await start()
    const response = await callEntry(harness.nodes[0]!, '/v1/chat/completions', { body: CHAT_BODY })
    expect(response.status).to.equal(200)
  })
})
