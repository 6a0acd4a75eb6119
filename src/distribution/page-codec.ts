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

/** Offset (8 bytes), length of the key (2) and of the value (4), or {@link removedLength}. */
const recordHeadBytes = 14;

/** Length that marks the removal of a key. */
const removedLength = 0xffff_ffff;

/** Encodes a page of another daemon's copy. */
export function encodePage({ records, endOffset, copyAgeMs = 0 }: KeyedPage): Buffer {
  const head = Buffer.alloc(headBytes);
  head.writeDoubleBE(endOffset, 0);
  head.writeDoubleBE(copyAgeMs, 8);
  return Buffer.concat([head, ...records.flatMap(encodeRecord)]);
}

/**
 * Decodes {@link encodePage}.
 *
 * @throws MalformedPageError when the bytes are no complete page.
 */
export function decodePage(bytes: Buffer): KeyedPage {
  if (bytes.length < headBytes) throw new MalformedPageError('no head');
  return {
    endOffset: offsetOf(bytes.readDoubleBE(0)),
    copyAgeMs: Math.max(0, finite(bytes.readDoubleBE(8))),
    records: decodeRecords(bytes.subarray(headBytes)),
  };
}

/** Encodes records to append; their offsets are not known yet. */
export function encodeEntries(entries: readonly KeyedEntry[]): Buffer {
  return Buffer.concat(entries.flatMap((entry) => encodeRecord({ ...entry, offset: 0 })));
}

/**
 * Decodes {@link encodeEntries}.
 *
 * @throws MalformedPageError when the bytes are no complete records.
 */
export function decodeEntries(bytes: Buffer): KeyedEntry[] {
  return decodeRecords(bytes).map(({ key, value }) => ({ key, value }));
}

function encodeRecord({ key, value, offset }: KeyedRecord): Buffer[] {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(recordHeadBytes);
  head.writeDoubleBE(offset, 0);
  head.writeUInt16BE(keyBytes.length, 8);
  head.writeUInt32BE(value ? value.length : removedLength, 10);
  return value ? [head, keyBytes, Buffer.from(value)] : [head, keyBytes];
}

function decodeRecords(bytes: Buffer): KeyedRecord[] {
  const records: KeyedRecord[] = [];
  let at = 0;
  while (at < bytes.length) {
    const keyStart = at + recordHeadBytes;
    if (keyStart > bytes.length) throw new MalformedPageError('a record ends in its head');
    const keyEnd = keyStart + bytes.readUInt16BE(at + 8);
    const length = bytes.readUInt32BE(at + 10);
    const valueEnd = length === removedLength ? keyEnd : keyEnd + length;
    if (valueEnd > bytes.length) throw new MalformedPageError('a record is cut');
    records.push({
      offset: offsetOf(bytes.readDoubleBE(at)),
      key: bytes.toString('utf8', keyStart, keyEnd),
      value: length === removedLength ? undefined : bytes.subarray(keyEnd, valueEnd),
    });
    at = valueEnd;
  }
  return records;
}

function offsetOf(value: number): number {
  if (!Number.isSafeInteger(value) || value < 0) throw new MalformedPageError('an offset is wrong');
  return value;
}

function finite(value: number): number {
  if (!Number.isFinite(value)) throw new MalformedPageError('the age is not a number');
  return value;
}
