import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import { EventSplitter } from '../../src/gateway/event-splitter.js';

const stream = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 10\ndata: c\n\n';

describe('EventSplitter', () => {
  describe('chunks cut at any byte', () => {
    it('yield every byte of the complete events, unchanged and in order', () => {
      fc.assert(
        fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 40 }), (sizes) => {
          const splitter = new EventSplitter();
          const out: string[] = [];
          let rest = Buffer.from(stream);
          for (const size of [...sizes, stream.length]) {
            const events = splitter.push(rest.subarray(0, size));
            if (events) out.push(events.bytes.toString());
            rest = rest.subarray(size);
          }
          expect(out.join('')).toBe(stream);
          expect(splitter.pendingBytes).toBe(0);
        }),
      );
    });
  });

  describe('a stream that breaks in the middle of an event', () => {
    it('holds the partial event back and gives the id of the last complete one', () => {
      const splitter = new EventSplitter();
      const events = splitter.push(Buffer.from('id: 7\ndata: x\n\nid: 8\nda'));
      expect(events?.bytes.toString()).toBe('id: 7\ndata: x\n\n');
      expect(events?.lastEventId).toBe('7');
      expect(events?.count).toBe(1);
      expect(splitter.pendingBytes).toBe('id: 8\nda'.length);
    });
  });

  describe('events without an id', () => {
    it('leave the last id undefined, so that a stream resumes after the id before', () => {
      expect(new EventSplitter().push(Buffer.from('data: x\n\n'))?.lastEventId).toBeUndefined();
    });
  });

  describe('streams in pieces', () => {
    /** Bytes copied for one event without an end that comes in chunks of four bytes. */
    function copiedBytes(eventBytes: number): number {
      const splitter = new EventSplitter();
      for (let bytes = 0; bytes < eventBytes; bytes += 4) splitter.push(Buffer.from('xxxx'));
      return splitter.copiedBytes;
    }

    // The whole unfinished event was copied for each chunk: gigabytes for one event, and meanwhile the
    // process answered nobody.
    it('cost bytes copied in proportion to the bytes received', () => {
      expect(copiedBytes(200_000)).toBeLessThan(4 * 200_000);
      expect(copiedBytes(200_000)).toBeLessThan(5 * copiedBytes(50_000));
    });

    it('yield what the same stream yields in one piece, however it is cut', () => {
      const text = fc.string({
        unit: fc.constantFrom('\n', '\r', ':', 'i', 'd', ' ', '1'),
        maxLength: 80,
      });
      fc.assert(
        fc.property(
          text,
          fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 80 }),
          (all, sizes) => {
            const whole = new EventSplitter();
            const expected = whole.push(Buffer.from(all));
            const splitter = new EventSplitter();
            let rest = Buffer.from(all);
            let bytes = '';
            let count = 0;
            for (const size of [...sizes, all.length]) {
              const events = splitter.push(rest.subarray(0, size));
              rest = rest.subarray(size);
              bytes += events?.bytes.toString() ?? '';
              count += events?.count ?? 0;
            }
            expect(bytes).toBe(expected?.bytes.toString() ?? '');
            expect(count).toBe(expected?.count ?? 0);
            expect(splitter.pendingBytes).toBe(whole.pendingBytes);
          },
        ),
      );
    });
  });
});
