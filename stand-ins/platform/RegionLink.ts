import { EmulatedLink, type EmulatedLinkOptions } from './EmulatedLink.js'

/** The directions that the requests and the responses of a call take. */
export interface LinkRoute {
  requests: EmulatedLink
  answers: EmulatedLink
}

/** The direction of traffic between the region of the store and the far one. */
export type RegionDirection = 'to-far' | 'from-far'

/** The link between two regions, which all calls between them share. */
export class RegionLink {
  private readonly links: Record<RegionDirection, EmulatedLink>

  private constructor (options: EmulatedLinkOptions) {
    this.links = { 'to-far': EmulatedLink.create(options), 'from-far': EmulatedLink.create(options) }
  }

  /**
   * Creates an idle link.
   * @param options The clock, and the rate and the delay of each direction.
   * @returns The link.
   */
  static create (options: EmulatedLinkOptions): RegionLink {
    return new RegionLink(options)
  }

  /**
   * Returns one direction.
   * @param direction The direction.
   * @returns The link.
   */
  get (direction: RegionDirection): EmulatedLink {
    return this.links[direction]
  }

  /**
   * Returns the route of a call.
   * @param isCallerFar Whether the caller is in the far region.
   * @param isTargetFar Whether the called process is in the far region.
   * @returns The route, or null within a region.
   */
  getRoute (isCallerFar: boolean, isTargetFar: boolean): LinkRoute | null {
    if (isCallerFar === isTargetFar) return null
    const { 'to-far': toFar, 'from-far': fromFar } = this.links
    return isCallerFar ? { requests: fromFar, answers: toFar } : { requests: toFar, answers: fromFar }
  }
}
