import type { IncomingMessage } from 'node:http'
import { failed, ok, type Outcome } from '../shared/index.js'

/** Why a body could not be read whole. */
export type BodyReadFailure = 'body-too-large' | 'body-too-slow' | 'caller-gone'

/** Limits of reading a body. */
export interface BodyLimits {
  maxBodyBytes: number
  /** How long the caller may take to send the whole body. */
  timeoutMilliseconds: number
}

/**
 * Reads a whole request body within limits of length and time.
 * @param request The request of a caller.
 * @param limits The limits.
 * @returns The body, null when there is none, or why it could not be read.
 */
export async function readBody (
  request: IncomingMessage,
  limits: BodyLimits
): Promise<Outcome<Buffer | null, BodyReadFailure>> {
  const announced = request.headers['content-length']
  if (announced === undefined && request.headers['transfer-encoding'] === undefined) return ok(null)
  if (Number(announced ?? 0) > limits.maxBodyBytes) return failed('body-too-large')
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let length = 0
    const timer = setTimeout(() => settle(failed('body-too-slow')), limits.timeoutMilliseconds)
    const settle = (outcome: Outcome<Buffer | null, BodyReadFailure>) => {
      clearTimeout(timer)
      request.removeListener('data', onData)
      resolve(outcome)
    }
    const onData = (chunk: Buffer) => {
      length += chunk.length
      if (length > limits.maxBodyBytes) settle(failed('body-too-large'))
      else chunks.push(chunk)
    }
    request.on('data', onData)
    request.once('end', () => settle(ok(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks))))
    request.once('error', () => settle(failed('caller-gone')))
    request.once('close', () => settle(failed('caller-gone')))
  })
}
