import type { Operation } from './TableService.js'

/** The limits of one transaction. */
export interface PackLimits {
  operationCount: number
  /** The bytes of the keys and values in JSON. */
  bytes: number
}

/** An operation with its size. */
export interface SizedOperation {
  operation: Operation
  /** The bytes that the operation adds to a transaction, beside a constant. */
  bytes: number
}

/**
 * Distributes operations over transactions that the table service accepts.
 * @param groups The operations; those of a group are in the same transaction.
 * @param limits The limits of a transaction, which a group may exceed by itself.
 * @returns The operations of each transaction, in the given order.
 */
export function packOperations (groups: readonly SizedOperation[][], limits: PackLimits): Operation[][] {
  const packed: Operation[][] = []
  let count = Infinity
  let bytes = 0
  for (const group of groups) {
    const groupBytes = group.reduce((sum, { bytes: operationBytes }) => sum + operationBytes, 0)
    if (count + group.length > limits.operationCount || bytes + groupBytes > limits.bytes) {
      packed.push([])
      count = 0
      bytes = 0
    }
    for (const { operation } of group) packed.at(-1)!.push(operation)
    count += group.length
    bytes += groupBytes
  }
  return packed
}

/**
 * Measures an operation.
 * @param operation The operation.
 * @param valueBytes The bytes of its value in JSON; by default, the value is encoded to measure it.
 * @returns The operation and its size.
 */
export function measureOperation (operation: Operation, valueBytes = getValueBytes(operation)): SizedOperation {
  const { table, key } = operation
  return { operation, bytes: Buffer.byteLength(table) + Buffer.byteLength(key) + valueBytes }
}

function getValueBytes (operation: Operation): number {
  return operation.kind === 'put' ? Buffer.byteLength(JSON.stringify(operation.value)) : 0
}
