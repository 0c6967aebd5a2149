/** Modules of undici that are loaded without the index, which adds fetch, WebSocket and caches to a process. */
declare module 'undici/lib/dispatcher/client.js' {
  import { Client } from 'undici'

  export default Client
}

declare module 'undici/lib/core/connect.js' {
  import { buildConnector } from 'undici'

  export default buildConnector
}
