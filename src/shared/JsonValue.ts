/** Any value that JSON can hold. */
export type JsonValue = null | boolean | number | string | JsonValue[] | { [name: string]: JsonValue | undefined }
