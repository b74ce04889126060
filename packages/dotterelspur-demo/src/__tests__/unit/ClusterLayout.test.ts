import { expect } from 'chai'
import { parseNodeSettings, parseTeamSettings, hashToken } from 'dotterelspur-settings'
import { createLayout } from '../../process/ClusterLayout.js'
import { nodeSettingsText } from '../../process/nodeSettings.js'

describe('createLayout', () => {
  const layout = createLayout(4, 7)

  it('spreads the nodes over the failure domains, each with its own addresses', () => {
    expect(layout.nodes.map((node) => node.failureDomain)).to.deep.equal(['perth-a', 'perth-b', 'perth-c', 'perth-a'])
    const hosts = createLayout(600, 7).nodes.flatMap((node) => [node.host, node.relayHost])
    expect(new Set(hosts).size).to.equal(hosts.length)
    expect(new Set(createLayout(600, 7).nodes.map((node) => node.id)).size).to.equal(600)
  })

  it('gives the same names and tokens for the same seed, and others for another', () => {
    expect(createLayout(4, 7)).to.deep.equal(layout)
    expect(createLayout(4, 8).adminToken).to.not.equal(layout.adminToken)
  })

  for (const plan of layout.teams) {
    it(`writes settings of team ${plan.team} that the product accepts, with the hash of its token`, () => {
      const parsed = parseTeamSettings(plan.settings, `${plan.team}.ini`)
      if (!parsed.ok) throw new Error(JSON.stringify(parsed.error))
      expect(parsed.value.callerTokenHashes).to.deep.equal([hashToken(plan.token)])
      expect(parsed.value.models.map((model) => model.model)).to.deep.equal(plan.models)
    })
  }

  it('writes node settings that the product accepts', () => {
    for (const plan of layout.nodes) {
      const text = nodeSettingsText({ plan, region: layout.region, ports: { entry: 1, mesh: 2, admin: 3 }, meshAddress: `${plan.relayHost}:9`, meshKey: layout.meshKey, adminToken: layout.adminToken, platformUrl: 'http://127.0.0.1:4', fencing: 'checked' })
      const parsed = parseNodeSettings(text, 'node.ini')
      expect(parsed.ok, parsed.ok ? '' : JSON.stringify(parsed.error)).to.equal(true)
    }
  })
})
