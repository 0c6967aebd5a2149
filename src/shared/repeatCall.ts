import type { Clock } from './Clock.js'

/** Options of a call that is repeated while it gets no response. */
export interface RepeatedCallOptions<Outcome> {
  clock: Clock
  /**
   * Sends the call once more and resolves to the outcome of this send; it must be safe to repeat.
   * @param sendIndex The number of earlier sends.
   */
  send (sendIndex: number): Promise<Outcome>
  /** Returns whether the outcome of one send is that of the call: false for sends without a response. */
  isSettled (outcome: Outcome): boolean
  /** Returns the time after a send, in milliseconds, at which the call is repeated beside it. */
  getDelayMilliseconds (): number
  /**
   * Returns the time after a send, in milliseconds, before which the call is not repeated when all sends have failed;
   * by default, the time of `getDelayMilliseconds`.
   */
  getFailureDelayMilliseconds? (): number
  /** Returns whether the call is sent once more, after the delay of the last send or after all sends have failed. */
  mayRepeat (): boolean
  /** The maximum number of sends. */
  sendLimit: number
}

/**
 * Sends a call, and sends it again beside the earlier sends while none of them has a response.
 * @param options The call, and when it may be repeated.
 * @returns The first outcome that settles the call, otherwise the outcome of the last send that ended.
 */
export function repeatCall<Outcome> (options: RepeatedCallOptions<Outcome>): Promise<Outcome> {
  const { clock, send, isSettled, getDelayMilliseconds, getFailureDelayMilliseconds, mayRepeat, sendLimit } = options
  return new Promise((resolve, reject) => {
    let sendCount = 0
    let pendingCount = 0
    let isOver = false
    let lastSentAt = 0
    let cancelTimer = () => {}
    const finish = (settle: () => void) => {
      if (isOver) return
      isOver = true
      cancelTimer()
      settle()
    }
    const repeat = () => {
      if (isOver || sendCount >= sendLimit) return
      if (mayRepeat()) sendOnce()
      else if (pendingCount > 0) cancelTimer = clock.setTimer(getDelayMilliseconds(), repeat)
    }
    const handleOutcome = (outcome: Outcome) => {
      pendingCount--
      if (isOver) return
      if (isSettled(outcome)) return finish(() => resolve(outcome))
      if (pendingCount > 0) return
      cancelTimer()
      const repeatAt = lastSentAt + (getFailureDelayMilliseconds ?? getDelayMilliseconds)()
      const waitMilliseconds = repeatAt - clock.monotonicMilliseconds()
      if (waitMilliseconds <= 0 || sendCount >= sendLimit) return repeatOrFinish(outcome)
      cancelTimer = clock.setTimer(waitMilliseconds, () => repeatOrFinish(outcome))
    }
    const repeatOrFinish = (outcome: Outcome) => {
      repeat()
      if (pendingCount === 0) finish(() => resolve(outcome))
    }
    const sendOnce = () => {
      const sendIndex = sendCount
      sendCount++
      pendingCount++
      lastSentAt = clock.monotonicMilliseconds()
      cancelTimer()
      cancelTimer = clock.setTimer(getDelayMilliseconds(), () => {
        // A late event loop runs its timers first: a response that has arrived by now is handled before the repeat.
        cancelTimer = clock.setTimer(0, repeat)
      })
      send(sendIndex).then(handleOutcome, error => finish(() => reject(error)))
    }
    sendOnce()
  })
}
