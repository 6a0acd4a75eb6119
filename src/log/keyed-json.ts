import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { z } from 'zod';

/** First byte of a compressed value; JSON never begins with it. */
const compressedMark = 0x01;

/** Longest decoded value; bounds what a few bytes can expand to. */
const maxDecodedBytes = 1_048_576;

/** Shorter values are not worth compressing. */
const minCompressedBytes = 512;

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
    const json =
      value[0] === compressedMark
        ? inflateRawSync(value.subarray(1), { maxOutputLength: maxDecodedBytes })
        : Buffer.from(value);
    return schema.safeParse(JSON.parse(json.toString())).data;
  } catch {
    return undefined; // Not JSON: handled like a record of another schema.
  }
}

/**
 * Encodes the value of a keyed record as JSON, compressed if it is long: hundreds of daemons that
 * start together read the records of all of them over one link.
 */
export function encodeKeyedJson(value: unknown): Uint8Array {
  const json = Buffer.from(JSON.stringify(value));
  if (json.length < minCompressedBytes) return json;
  return Buffer.concat([Buffer.from([compressedMark]), deflateRawSync(json)]);
}
