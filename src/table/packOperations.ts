import type { Operation } from './TableService.js'

/** The limits of one transaction. */
export interface PackLimits {
  operationCount: number
  /** The bytes of the keys and values in JSON. */
  bytes: number
}

/**
 * Distributes operations over transactions that the table service accepts.
 * @param groups The operations; those of a group are in the same transaction.
 * @param limits The limits of a transaction, which a group may exceed by itself.
 * @returns The operations of each transaction, in the given order.
 */
export function packOperations (groups: readonly Operation[][], limits: PackLimits): Operation[][] {
  const packed: Operation[][] = []
  let count = Infinity
  let bytes = 0
  for (const group of groups) {
    const groupBytes = group.reduce((sum, operation) => sum + getOperationBytes(operation), 0)
    if (count + group.length > limits.operationCount || bytes + groupBytes > limits.bytes) {
      packed.push([])
      count = 0
      bytes = 0
    }
    packed.at(-1)!.push(...group)
    count += group.length
    bytes += groupBytes
  }
  return packed
}

/** Returns the bytes that an operation adds to a transaction, beside a constant. */
function getOperationBytes (operation: Operation): number {
  const valueBytes = operation.kind === 'put' ? Buffer.byteLength(JSON.stringify(operation.value)) : 0
  return Buffer.byteLength(operation.table) + Buffer.byteLength(operation.key) + valueBytes
}
