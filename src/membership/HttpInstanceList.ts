import { request } from 'undici'
import type { InstanceListOutcome, InstanceListSource, ListedInstance } from './InstanceList.js'

/** The list is read every second, so the next read supersedes a slower response. */
const TIMEOUT_MILLISECONDS = 1000

/** Reads the platform's instance list over HTTP: `GET /instances` returns a JSON array. */
export class HttpInstanceList implements InstanceListSource {
  private constructor (private readonly url: string) {}

  /**
   * Creates the reader.
   * @param options The address of the list service, for example `http://127.0.0.1:7100`.
   * @returns The reader.
   */
  static create (options: { url: string }): HttpInstanceList {
    return new HttpInstanceList(options.url)
  }

  async readInstances (): Promise<InstanceListOutcome> {
    try {
      const response = await request(`${this.url}/instances`, { signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS) })
      if (response.statusCode !== 200) {
        await response.body.dump()
        return { kind: 'unavailable', reason: `instance list service returned HTTP status ${response.statusCode}` }
      }
      return { kind: 'ok', instances: await response.body.json() as ListedInstance[] }
    } catch (error) {
      return { kind: 'unavailable', reason: (error as Error).message }
    }
  }
}
