import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  MalformedPageError,
  decodeEntries,
  decodePage,
  encodeEntries,
  encodePage,
} from '../../src/distribution/page-codec.js';

const record = fc.record({
  key: fc.string({ maxLength: 40 }),
  value: fc.option(fc.uint8Array({ maxLength: 200 }), { nil: undefined }),
  offset: fc.nat(),
});

const page = fc.record({
  records: fc.array(record),
  endOffset: fc.nat(),
  copyAgeMs: fc.nat(100_000),
});

describe('page codec', () => {
  it('returns a page as it was, removed keys and empty values included', () => {
    fc.assert(
      fc.property(page, (sent) => {
        const received = decodePage(encodePage(sent));
        const records = received.records.map(({ value, ...rest }) => ({
          ...rest,
          value: value && new Uint8Array(value),
        }));
        expect({ ...received, records }).toEqual(sent);
      }),
    );
  });

  it('refuses any other bytes by a typed error, so that one bad message ends no process', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
        for (const decode of [decodePage, decodeEntries]) {
          try {
            decode(Buffer.from(bytes));
          } catch (error) {
            expect(error).toBeInstanceOf(MalformedPageError);
          }
        }
      }),
    );
  });

  it('refuses a page that was cut, so that a part of the records does not pass for all', () => {
    fc.assert(
      fc.property(fc.array(record, { minLength: 1 }), fc.nat(), (entries, cut) => {
        const bytes = encodeEntries(entries);
        const last = encodeEntries(entries.slice(-1)).length;
        const kept = bytes.length - 1 - (cut % (last - 1));
        expect(() => decodeEntries(bytes.subarray(0, kept))).toThrow(MalformedPageError);
      }),
    );
  });
});
