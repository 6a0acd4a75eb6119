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
});
