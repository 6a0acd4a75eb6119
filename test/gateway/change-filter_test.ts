import { describe, expect, it } from 'vitest';
import { ChangeFilter } from '../../src/gateway/change-filter.js';

describe('ToldCounts', () => {
  it('tells each change twice and then no more, against one lost datagram', () => {
    const filter = new ChangeFilter();
    expect(filter.changed({ a: 1, b: 5 })).toEqual({ a: 1, b: 5 });
    expect(filter.changed({ a: 2, b: 5 })).toEqual({ a: 2, b: 5 });
    expect(filter.changed({ a: 2, b: 5 })).toEqual({ a: 2 });
    expect(filter.changed({ a: 2, b: 5 })).toEqual({});
  });
});
