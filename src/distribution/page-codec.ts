import { deflateSync, inflateSync } from 'node:zlib';
import { OrioleError, Step } from '../core/index.js';
import type { KeyedEntry, KeyedPage, KeyedRecord } from '../log/keyed-log.js';

/** Bytes that another daemon sent are no page. */
export class MalformedPageError extends OrioleError {
  constructor(reason: string) {
    super(`malformed page of records: ${reason}`, { step: Step.Log, peer: 'distributor' });
  }
}

/** End offset and age of the copy, 8 bytes each. */
const headBytes = 16;

/**
 * Bytes before the head of a page of an era other than 0: `-1 - era`. No head begins with a negative
 * number, so that pages of earlier builds, which know no eras, are those of era 0.
 */
const eraBytes = 8;

/** Offset (8 bytes), length of the key (2, with {@link compressedBit}) and of the value (4), or {@link removedLength}. */
const recordHeadBytes = 14;

/** Length that marks the removal of a key. */
const removedLength = 0xffff_ffff;

/** Bit of the length of a key, which has 255 bytes at most, that marks a compressed value. */
const compressedBit = 0x8000;

/** Smaller values gain little. */
const minCompressedBytes = 4_096;

/** Fast; the values repeat the same names many times. */
const compressionLevel = 1;

/**
 * Largest sum of the compressed values of a page after decompression: what a page without compression
 * may have. What does not fit is read from the store.
 */
const maxDecompressedBytes = 16_777_216;

/** Compressed values, so that all readers of a copy share the work. */
const compressedValues = new WeakMap<Uint8Array, Buffer>();

/**
 * Encodes a page of another daemon's copy.
 *
 * @param mayCompress - whether the reader understands compressed values.
 */
export function encodePage(
  { records, endOffset, era, copyAgeMs = 0 }: KeyedPage,
  mayCompress = false,
): Buffer {
  const head = Buffer.alloc(headBytes);
  head.writeDoubleBE(endOffset, 0);
  head.writeDoubleBE(copyAgeMs, 8);
  const eraHead = Buffer.alloc(era > 0 ? eraBytes : 0);
  if (era > 0) eraHead.writeDoubleBE(-1 - era, 0);
  return Buffer.concat([
    eraHead,
    head,
    ...records.flatMap((record) => encodeRecord(record, mayCompress)),
  ]);
}

/**
 * Decodes {@link encodePage}.
 *
 * @throws MalformedPageError when the bytes are no complete page.
 */
export function decodePage(received: Buffer): KeyedPage {
  if (received.length < headBytes) throw new MalformedPageError('no head');
  const first = received.readDoubleBE(0);
  const hasEra = first < 0;
  const bytes = hasEra ? received.subarray(eraBytes) : received;
  if (bytes.length < headBytes) throw new MalformedPageError('no head');
  return {
    era: hasEra ? eraOf(-1 - first) : 0,
    endOffset: offsetOf(bytes.readDoubleBE(0)),
    copyAgeMs: Math.max(0, finite(bytes.readDoubleBE(8))),
    records: decodeRecords(bytes.subarray(headBytes)),
  };
}

/** Encodes records to append; their offsets are not known yet. */
export function encodeEntries(entries: readonly KeyedEntry[]): Buffer {
  return Buffer.concat(entries.flatMap((entry) => encodeRecord({ ...entry, offset: 0 }, false)));
}

/**
 * Decodes {@link encodeEntries}.
 *
 * @throws MalformedPageError when the bytes are no complete records.
 */
export function decodeEntries(bytes: Buffer): KeyedEntry[] {
  return decodeRecords(bytes).map(({ key, value }) => ({ key, value }));
}

function encodeRecord({ key, value, offset }: KeyedRecord, mayCompress: boolean): Buffer[] {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(recordHeadBytes);
  const isCompressed = mayCompress && value !== undefined && value.length >= minCompressedBytes;
  const sent = isCompressed ? compressed(value) : value;
  head.writeDoubleBE(offset, 0);
  head.writeUInt16BE(keyBytes.length | (isCompressed ? compressedBit : 0), 8);
  head.writeUInt32BE(sent ? sent.length : removedLength, 10);
  return sent ? [head, keyBytes, Buffer.from(sent)] : [head, keyBytes];
}

function compressed(value: Uint8Array): Buffer {
  let bytes = compressedValues.get(value);
  if (!bytes) {
    bytes = deflateSync(value, { level: compressionLevel });
    compressedValues.set(value, bytes);
  }
  return bytes;
}

function decompressed(bytes: Buffer, maxBytes: number): Buffer {
  if (maxBytes === 0) throw new MalformedPageError('its values are too large');
  try {
    return inflateSync(bytes, { maxOutputLength: maxBytes });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new MalformedPageError(`a compressed value cannot be read: ${reason}`);
  }
}

function decodeRecords(bytes: Buffer): KeyedRecord[] {
  const records: KeyedRecord[] = [];
  let leftBytes = maxDecompressedBytes;
  let at = 0;
  while (at < bytes.length) {
    const keyStart = at + recordHeadBytes;
    if (keyStart > bytes.length) throw new MalformedPageError('a record ends in its head');
    const keyLength = bytes.readUInt16BE(at + 8);
    const keyEnd = keyStart + (keyLength & ~compressedBit);
    const length = bytes.readUInt32BE(at + 10);
    const valueEnd = length === removedLength ? keyEnd : keyEnd + length;
    if (valueEnd > bytes.length) throw new MalformedPageError('a record is cut');
    let value = length === removedLength ? undefined : bytes.subarray(keyEnd, valueEnd);
    if (value && (keyLength & compressedBit) !== 0) {
      value = decompressed(value, leftBytes);
      leftBytes -= value.length;
    }
    records.push({
      offset: offsetOf(bytes.readDoubleBE(at)),
      key: bytes.toString('utf8', keyStart, keyEnd),
      value,
    });
    at = valueEnd;
  }
  return records;
}

function eraOf(value: number): number {
  if (!Number.isSafeInteger(value) || value <= 0) throw new MalformedPageError('the era is wrong');
  return value;
}

function offsetOf(value: number): number {
  if (!Number.isSafeInteger(value) || value < 0) throw new MalformedPageError('an offset is wrong');
  return value;
}

function finite(value: number): number {
  if (!Number.isFinite(value)) throw new MalformedPageError('the age is not a number');
  return value;
}
