import { request, type Dispatcher } from 'undici'

/** A response with its JSON body, or the reason why there is no response. */
export type JsonResponse<Value> =
  | { kind: 'ok', statusCode: number, headers: Dispatcher.ResponseData['headers'], body: Value }
  | { kind: 'failed', reason: string }

const TIMEOUT_MILLISECONDS = 5000

/**
 * Sends an HTTP request over a connection of its own.
 * @param method The HTTP method.
 * @param url The URL.
 * @param body The value to send as JSON; left out for a request without a body.
 * @returns The response, whatever its status, or the reason why the connection failed.
 */
export async function callJson<Value> (
  method: Dispatcher.HttpMethod,
  url: string,
  body?: unknown
): Promise<JsonResponse<Value>> {
  try {
    const response = await request(url, {
      method,
      reset: true,
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
    })
    const text = await response.body.text()
    const { statusCode, headers } = response
    return { kind: 'ok', statusCode, headers, body: (text === '' ? null : JSON.parse(text)) as Value }
  } catch (error) {
    const { code, message } = error as { code?: string, message: string }
    return { kind: 'failed', reason: code ?? message }
  }
}

/**
 * Sends an HTTP request to a stand-in and throws if it fails or its status is 300 or above.
 * @param method The HTTP method.
 * @param url The URL.
 * @param body The value to send as JSON; left out for a request without a body.
 * @returns The body of the response.
 */
export async function callJsonOrThrow<Value> (
  method: Dispatcher.HttpMethod,
  url: string,
  body?: unknown
): Promise<Value> {
  const response = await callJson<Value>(method, url, body)
  if (response.kind === 'failed') throw new Error(`${method} ${url}: ${response.reason}`)
  if (response.statusCode >= 300) throw new Error(`${method} ${url}: status ${response.statusCode}`)
  return response.body
}
