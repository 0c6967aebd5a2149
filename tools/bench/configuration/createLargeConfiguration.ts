/** The number of hosts and services, among which the routes are divided. */
const HOST_COUNT = 12
const SERVICE_COUNT = 6

/**
 * Creates a configuration as the platform stores it.
 * @param routeCount The number of its routes.
 * @param version The version, which changes the time limit of every tenth route.
 * @returns The configuration.
 */
export function createLargeConfiguration (routeCount: number, version: number): object {
  return {
    version,
    routes: Array.from({ length: routeCount }, (_, index) => ({
      name: `queue-${index}-${(index * 7919).toString(36)}`,
      host: `host${index % HOST_COUNT}.example`,
      prefix: `/path${index}${(index * 104_729).toString(36)}/`,
      service: `service-${index % SERVICE_COUNT}`,
      priority: index % 3,
      attempts: 3,
      stretch: 2.5,
      targetLatencyMs: 1500 + index % 100,
      timeoutMs: index % 10 === 0 ? 3000 + version : 2500
    })),
    services: Array.from({ length: SERVICE_COUNT }, (_, index) => ({ name: `service-${index}`, admissionCheck: true })),
    limits: { maxBodyBytes: 262_144 }
  }
}
