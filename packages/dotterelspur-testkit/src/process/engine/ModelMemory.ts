import type { LoadedModel } from 'dotterelspur'
import type { TimerSet } from '../TimerSet.js'
import type { LoadRequester } from './EngineSettings.js'

const MODELS_IN_MEMORY = 2

function keyOf (loaded: LoadedModel): string {
  return [loaded.model, loaded.version, ...loaded.adapters].join('\u0000')
}

/** The most recent models in a VM's memory, loaded at the rate of the weight store. */
export class ModelMemory {
  private held: LoadedModel[] = []
  private readonly loading = new Map<string, Array<() => void>>()

  constructor (private readonly timers: TimerSet, private readonly requestLoad: LoadRequester) {}

  /** Calls back once the model is loaded, or at once if it already is. */
  ensure (model: LoadedModel, sizeBytes: number, onLoaded: () => void): void {
    const key = keyOf(model)
    if (this.held.some((held) => keyOf(held) === key)) return onLoaded()
    const waiting = this.loading.get(key)
    if (waiting !== undefined) {
      waiting.push(onLoaded)
      return
    }
    this.loading.set(key, [onLoaded])
    const { model: id, version, adapters } = model
    this.timers.after(this.requestLoad(sizeBytes), () => { this.finish(key, { model: id, version, adapters }) })
  }

  loaded (): readonly LoadedModel[] {
    return this.held
  }

  private finish (key: string, model: LoadedModel): void {
    const callbacks = this.loading.get(key) ?? []
    this.loading.delete(key)
    this.held = [...this.held.slice(1 - MODELS_IN_MEMORY), model]
    for (const callback of callbacks) callback()
  }
}
