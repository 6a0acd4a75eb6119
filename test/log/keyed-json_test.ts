import { deflateRawSync } from 'node:zlib';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { z } from 'zod';
import { decodeKeyedJson, encodeKeyedJson } from '../../src/log/keyed-json.js';

const schema = z.record(z.string(), z.number());

/** A sample as a daemon of a large deployment publishes it: counts by workspace, many windows. */
function counts(names: number): Record<string, number> {
  return Object.fromEntries(
    Array.from({ length: names }, (_, number) => [`workspace-${number}`, number * 7_919]),
  );
}

describe('keyed JSON', () => {
  it.each([3, 200])('returns what was encoded, %i entries', (names) => {
    expect(decodeKeyedJson(encodeKeyedJson(counts(names)), schema)).toEqual(counts(names));
  });

  it('is compressed when long, so that hundreds of daemons can start over one link', () => {
    const value = counts(200);
    expect(encodeKeyedJson(value).length).toBeLessThan(JSON.stringify(value).length / 2);
  });

  it('reads the plain JSON of builds that do not compress', () => {
    expect(decodeKeyedJson(Buffer.from(JSON.stringify(counts(200))), schema)).toEqual(counts(200));
  });

  it('ignores any other bytes, and a few that expand without end', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 60 }), (bytes) => {
        decodeKeyedJson(bytes, schema);
        decodeKeyedJson(Buffer.concat([Buffer.from([1]), bytes]), schema);
      }),
    );
    const bomb = deflateRawSync(Buffer.alloc(50 * 1_048_576, 0x20));
    expect(decodeKeyedJson(Buffer.concat([Buffer.from([1]), bomb]), schema)).toBeUndefined();
  });
});
