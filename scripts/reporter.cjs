'use strict'

const Mocha = require('mocha')

/** Mocha's spec reporter, followed by the line that CI reads: `N passed, N failed`. */
class Reporter extends Mocha.reporters.Spec {
  constructor (runner, options) {
    super(runner, options)
    runner.once(Mocha.Runner.constants.EVENT_RUN_END, () => {
      const { passes, failures, pending } = this.stats
      const skipped = pending > 0 ? `, ${pending} skipped` : ''
      console.log(`${passes} passed, ${failures} failed${skipped}`)
    })
  }
}

module.exports = Reporter
