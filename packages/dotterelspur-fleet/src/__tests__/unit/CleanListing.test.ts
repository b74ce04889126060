import { expect } from 'chai'
import { VmListState, VmRole, type VmRecord } from 'dotterelspur'
import { cleanListing, RecordFault } from '../../process/CleanListing.js'

function makeRecord (fields: Partial<VmRecord> = {}): VmRecord {
  return {
    vm: 'vm-1', incarnation: 2, role: VmRole.Engine, state: VmListState.Live, address: 'http://vm-1', region: 'r1', failureDomain: 'fd-1', fabricDomain: 'fd-1.a', ...fields
  }
}

describe('cleanListing', () => {
  const cases: ReadonlyArray<{ title: string, second: Partial<VmRecord>, kept: Partial<VmRecord> | null, faults: readonly RecordFault[] }> = [
    { title: 'the same record twice', second: {}, kept: {}, faults: [] },
    { title: 'an older incarnation', second: { incarnation: 1, fabricDomain: 'fd-1.b' }, kept: {}, faults: [RecordFault.OlderIncarnation] },
    { title: 'a newer incarnation elsewhere', second: { incarnation: 3, fabricDomain: 'fd-1.b' }, kept: { incarnation: 3, fabricDomain: 'fd-1.b' }, faults: [RecordFault.OlderIncarnation] },
    { title: 'the same incarnation in another fabric domain', second: { fabricDomain: 'fd-1.b' }, kept: null, faults: [RecordFault.ConflictingLocations] },
    { title: 'the same incarnation in another failure domain', second: { failureDomain: 'fd-2' }, kept: null, faults: [RecordFault.ConflictingLocations] },
    { title: 'the same incarnation, leaving', second: { state: VmListState.Leaving }, kept: { state: VmListState.Leaving }, faults: [] }
  ]
  for (const { title, second, kept, faults } of cases) {
    it(`uses at most one record of a VM that is listed twice: ${title}`, () => {
      for (const vms of [[makeRecord(), makeRecord(second)], [makeRecord(second), makeRecord()]]) {
        const clean = cleanListing({ vms, version: 1 })
        expect(clean.vms.get('vm-1')).to.deep.equal(kept === null ? undefined : makeRecord(kept))
        expect(clean.unused.map((unused) => unused.fault)).to.deep.equal(faults)
      }
    })
  }
})
