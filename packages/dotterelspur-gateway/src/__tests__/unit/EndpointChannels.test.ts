import { expect } from 'chai'
import { EndpointChannels } from '../../connection/EndpointChannels.js'

const ADDRESS = '10.0.0.1:1'

describe('EndpointChannels', () => {
  let channels: EndpointChannels

  beforeEach(() => { channels = new EndpointChannels() })
  afterEach(() => { channels.close() })

  it('use a channel again after its exchange', () => {
    const channel = channels.acquire('w1', ADDRESS)
    channels.retain(new Set(['w1']))
    channels.release('w1', channel)
    expect(channels.acquire('w1', ADDRESS)).to.equal(channel)
  })

  it('use no channel again of an endpoint that is no longer listed', () => {
    const channel = channels.acquire('w1', ADDRESS)
    channels.retain(new Set())
    channels.release('w1', channel)
    expect(channels.acquire('w1', ADDRESS)).not.to.equal(channel)
  })

  // Guards against a new connection for each request to an endpoint whose entry was missing for a moment while requests ran there.
  it('use a channel again of an endpoint that is listed again', () => {
    const channel = channels.acquire('w1', ADDRESS)
    channels.retain(new Set())
    channels.retain(new Set(['w1']))
    channels.release('w1', channel)
    expect(channels.acquire('w1', ADDRESS)).to.equal(channel)
  })
})
