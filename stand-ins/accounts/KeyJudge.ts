/** Options of a judge. */
export interface KeyJudgeOptions {
  /** How long a removed key may be accepted, on the pages `revokeMs`. */
  removalMilliseconds: number
  /** How soon a version must be applied, on the pages `configApplyMs`. */
  applyMilliseconds: number
}

/** A call of a caller that has been answered. */
export interface AnsweredCall {
  key: string
  instanceId: string
  sentAt: number
  status: number
  /** Since when the instance has been in contact with the store without a break, or null if it is not. */
  contactSince: number | null
}

/** A version of the keys. */
interface KeysVersion {
  keys: ReadonlySet<string>
  /** When the next version was written, and when its write was acknowledged. */
  replacedAt: number
  replacementAcknowledgedAt: number
}

const ACCEPTED = 200
const UNAUTHORIZED = 401

/** Test oracle for the keys of client accounts: which calls must not succeed, and which must not be refused. */
export class KeyJudge {
  readonly violations: string[] = []
  /** The number of calls that have succeeded, and of those that were refused because of their key. */
  readonly counts = { accepted: 0, refused: 0 }
  private readonly versions: KeysVersion[] = []

  private constructor (private readonly options: KeyJudgeOptions) {}

  /**
   * Creates a judge without versions.
   * @param options The bounds.
   * @returns The judge.
   */
  static create (options: KeyJudgeOptions): KeyJudge {
    return new KeyJudge(options)
  }

  /**
   * Records that a version has been stored.
   * @param keys The keys of all accounts.
   * @param writtenAt When it may have been read for the first time.
   * @param acknowledgedAt When the operators knew that it was stored.
   */
  recordVersion (keys: Iterable<string>, writtenAt: number, acknowledgedAt: number): void {
    const previous = this.versions.at(-1)
    if (previous !== undefined) {
      previous.replacedAt = writtenAt
      previous.replacementAcknowledgedAt = acknowledgedAt
    }
    this.versions.push({ keys: new Set(keys), replacedAt: Infinity, replacementAcknowledgedAt: Infinity })
  }

  /** Records the answer to a call of a queue that needs a key. */
  recordAnswer (call: AnsweredCall): void {
    if (call.status === ACCEPTED) this.checkAccepted(call)
    else if (call.status === UNAUTHORIZED) this.checkRefused(call)
  }

  private checkAccepted ({ key, instanceId, sentAt }: AnsweredCall): void {
    this.counts.accepted++
    const holders = this.versions.filter(({ keys }) => keys.has(key))
    if (holders.length === 0) {
      this.violations.push(`route: ${instanceId} accepted ${key}, which no version has, at ${sentAt}`)
      return
    }
    const removedAt = Math.max(...holders.map(({ replacementAcknowledgedAt }) => replacementAcknowledgedAt))
    const elapsed = sentAt - removedAt
    if (elapsed <= this.options.removalMilliseconds) return
    this.violations.push(`config: ${instanceId} accepted ${key} at ${sentAt}, ${elapsed} ms after its removal`)
  }

  private checkRefused ({ key, instanceId, sentAt, contactSince }: AnsweredCall): void {
    this.counts.refused++
    const appliedAt = sentAt - this.options.applyMilliseconds
    if (contactSince === null || contactSince > appliedAt) return
    const mayBeInForce = this.versions.filter(({ replacedAt }) => replacedAt >= appliedAt)
    if (!mayBeInForce.every(({ keys }) => keys.has(key))) return
    this.violations.push(`config: ${instanceId} refused ${key} at ${sentAt}, which all versions in force have`)
  }
}
