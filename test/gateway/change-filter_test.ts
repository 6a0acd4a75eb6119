import { describe, expect, it } from 'vitest';
import { ChangeFilter } from '../../src/gateway/change-filter.js';

describe('ChangeFilter', () => {
  it('returns each change twice and then no more, in case one datagram is lost', () => {
    const filter = new ChangeFilter();
    expect(filter.changed({ a: 1, b: 5 })).toEqual({ a: 1, b: 5 });
    expect(filter.changed({ a: 2, b: 5 })).toEqual({ a: 2, b: 5 });
    expect(filter.changed({ a: 2, b: 5 })).toEqual({ a: 2 });
    expect(filter.changed({ a: 2, b: 5 })).toEqual({});
  });
});
