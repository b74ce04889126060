import { expect } from 'chai'
import { callerLoadLimits } from '../../../callers/callerLimits.js'
import { responseLoadLimits } from '../../responseLoadLimits.js'

const MIB = 1_048_576
const PROGRAM_BYTES = 130_000_000
const machine = (memoryMb: number): { memoryBytes: number, descriptors: number } => ({ memoryBytes: memoryMb * 1_000_000, descriptors: 4_100 })

describe('responseLoadLimits', () => {
  // Guards against limits of responses that are figures for a larger machine.
  it('follow the memory of the machine, and leave room beside what callers hold', () => {
    for (const memoryMb of [250, 350, 700]) {
      const { totalBytes, sharedBytes } = responseLoadLimits(machine(memoryMb))
      expect(sharedBytes).to.be.at.least(callerLoadLimits(machine(memoryMb)).heldBytes)
      expect(sharedBytes).to.be.at.least(totalBytes)
      expect(memoryMb * 1_000_000 - PROGRAM_BYTES - sharedBytes, `left of ${memoryMb} MB`).to.be.at.least(0.54 * (memoryMb * 1_000_000 - PROGRAM_BYTES))
    }
  })

  it('accept a body of 40 MiB on a machine of 350 MB, and of 32 MiB on one of 250 MB', () => {
    expect(responseLoadLimits(machine(350)).bodyBytes).to.equal(40 * MIB)
    expect(responseLoadLimits(machine(250)).bodyBytes).to.be.at.least(32 * MIB)
  })

  it('leave room for plain responses on a machine whose memory the program fills', () => {
    expect(responseLoadLimits(machine(100))).to.include({ totalBytes: 8 * MIB, bodyBytes: 8 * MIB, leastBytes: 8 * MIB })
  })
})
