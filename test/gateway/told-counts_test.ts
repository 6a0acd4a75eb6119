import { describe, expect, it } from 'vitest';
import { ToldCounts } from '../../src/gateway/told-counts.js';

describe('ToldCounts', () => {
  it('tells each change twice and then no more, against one lost datagram', () => {
    const told = new ToldCounts();
    expect(told.changed({ a: 1, b: 5 })).toEqual({ a: 1, b: 5 });
    expect(told.changed({ a: 2, b: 5 })).toEqual({ a: 2, b: 5 });
    expect(told.changed({ a: 2, b: 5 })).toEqual({ a: 2 });
    expect(told.changed({ a: 2, b: 5 })).toEqual({});
  });
});
