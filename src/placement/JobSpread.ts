/** How many racks a key of job and rack leaves room for. */
const MAXIMUM_RACKS = 65_536

interface JobRecord {
  number: number
  running: number
}

/** How many tasks of each job run in each rack, so that the tasks of a job are spread over racks. */
export class JobSpread {
  private readonly jobs = new Map<string, JobRecord>()
  private readonly jobIds: string[] = []
  private readonly freeNumbers: number[] = []
  private readonly counts = new Map<number, number>()

  private constructor () {}

  /**
   * Creates a record without jobs.
   * @returns The record.
   */
  static create (): JobSpread {
    return new JobSpread()
  }

  /**
   * Counts a task that starts.
   * @param jobId The job.
   * @param rack The rack.
   * @returns The number of the job, to be passed to `remove`.
   */
  add (jobId: string, rack: number): number {
    let job = this.jobs.get(jobId)
    if (job === undefined) {
      job = { number: this.freeNumbers.pop() ?? this.jobIds.length, running: 0 }
      this.jobIds[job.number] = jobId
      this.jobs.set(jobId, job)
    }
    job.running++
    const key = job.number * MAXIMUM_RACKS + rack
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1)
    return job.number
  }

  /**
   * Counts a task that ended.
   * @param jobNumber The number that `add` returned.
   * @param rack The rack.
   */
  remove (jobNumber: number, rack: number): void {
    const key = jobNumber * MAXIMUM_RACKS + rack
    const left = (this.counts.get(key) ?? 0) - 1
    if (left > 0) this.counts.set(key, left)
    else this.counts.delete(key)
    const job = this.jobs.get(this.jobIds[jobNumber])
    if (job === undefined) return
    job.running--
    if (job.running > 0) return
    this.jobs.delete(this.jobIds[jobNumber])
    this.freeNumbers.push(jobNumber)
  }

  /**
   * Returns a function that gives the share of a job's running tasks that are in a rack.
   * @param jobId The job.
   * @returns The function; it returns 0 for every rack when nothing of the job runs.
   */
  createRackShareLookup (jobId: string): (rack: number) => number {
    const job = this.jobs.get(jobId)
    if (job === undefined) return () => 0
    const { number, running } = job
    return rack => (this.counts.get(number * MAXIMUM_RACKS + rack) ?? 0) / running
  }
}
