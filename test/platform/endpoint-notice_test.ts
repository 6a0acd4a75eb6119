import { describe, expect, it } from 'vitest';
import { decodeNotice } from '../../platform/endpoint-notice.js';
import { HeaderCodec } from '../../platform/header-codec.js';

describe('decodeNotice', () => {
  it.each([200, 204, 404, 429, 500, 503])(
    'reads that an endpoint leaves from status %i',
    (status) => {
      expect(decodeNotice(status, { 'server-leaving': '1' }).isLeaving).toBe(true);
    },
  );

  it('reads a header that was sent twice alike', () => {
    expect(decodeNotice(200, { 'server-leaving': '1, 1' }).isLeaving).toBe(true);
  });

  it.each(['0', 'yes', '', '1, 0', 'true'])('takes %j for nothing, and names it', (value) => {
    const notice = decodeNotice(200, { 'server-leaving': value });
    expect(notice.isLeaving).toBe(false);
    expect(notice.unreadable).toEqual([`server-leaving: ${value}`]);
  });

  it.each([
    ['4', 4_000],
    ['0', 0],
    ['0.25', 250],
  ])('reads a pause of %s seconds', (value, pauseMs) => {
    expect(decodeNotice(503, { 'retry-after': value })).toMatchObject({ pauseMs, unreadable: [] });
  });

  it.each(['-1', 'soon', '1e308', 'Sat, 05 Dec 2026 20:00:00 GMT', '', 'NaN', '0x10'])(
    'takes the pause %j for none, and names it',
    (value) => {
      const notice = decodeNotice(503, { 'retry-after': value });
      expect(notice.pauseMs).toBeUndefined();
      expect(notice.unreadable).toEqual([`retry-after: ${value}`]);
    },
  );

  it.each([200, 429, 500])('reads no pause from status %i, which turns nothing away', (status) => {
    expect(decodeNotice(status, { 'retry-after': '4' }).pauseMs).toBeUndefined();
  });

  it('is not asked for a response of another process at the address', () => {
    const { notice } = new HeaderCodec().describeResponse(421, { 'server-leaving': '1' });
    expect(notice.isLeaving).toBe(false);
  });
});
