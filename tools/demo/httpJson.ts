import { request, type Dispatcher } from 'undici'

/** An answer with its JSON body, or why there is none. */
export type JsonResponse<Value> =
  | { kind: 'ok', statusCode: number, headers: Dispatcher.ResponseData['headers'], body: Value }
  | { kind: 'failed', reason: string }

const TIMEOUT_MILLISECONDS = 5000

/**
 * Calls a program on its own connection.
 * @param method The HTTP method.
 * @param url The address.
 * @param body Sent as JSON when given.
 * @returns The answer of any status, or the failure of the connection.
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
 * Calls a stand-in, which must answer.
 * @param method The HTTP method.
 * @param url The address.
 * @param body Sent as JSON when given.
 * @returns The body of the answer.
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
