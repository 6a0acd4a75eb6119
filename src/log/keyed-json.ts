import type { z } from 'zod';

/**
 * Decodes the JSON value of a keyed record.
 *
 * @returns undefined when there is no value or it does not match `schema`: topics can hold records
 *   of other versions and of other writers.
 */
export function decodeKeyedJson<T>(
  value: Uint8Array | undefined,
  schema: z.ZodType<T>,
): T | undefined {
  if (!value) return undefined;
  try {
    return schema.safeParse(JSON.parse(Buffer.from(value).toString())).data;
  } catch {
    return undefined; // Not JSON: handled like a record of another schema.
  }
}

/** Encodes the value of a keyed record as JSON. */
export function encodeKeyedJson(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}
