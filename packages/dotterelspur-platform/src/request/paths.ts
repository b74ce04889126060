/** Paths of the object API, below the platform's base URL. */

const OBJECTS = '/v1/objects'
const WATCH = '/v1/watch'

export const VMS_PATH = '/v1/vms'
export const WEIGHTS_PATH = '/v1/weights'

export function objectPath (key: string): string {
  return `${OBJECTS}/${key.split('/').map(encodeURIComponent).join('/')}`
}

export function listPath (prefix: string): string {
  return `${OBJECTS}?prefix=${encodeURIComponent(prefix)}`
}

export function watchPath (prefix: string, afterVersion: number): string {
  return `${WATCH}?prefix=${encodeURIComponent(prefix)}&after=${afterVersion}`
}
