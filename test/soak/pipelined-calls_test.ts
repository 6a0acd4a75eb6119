import { describe, expect, it } from 'vitest';
import { answersOf } from '../../bench/soak/pipelined-calls.js';

// Without this, a whole answer could be taken for a cut one, or a cut one for whole.
describe('answersOf', () => {
  const sized = 'HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody';
  const chunked =
    'HTTP/1.1 502 Bad Gateway\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\na\r\n0123\r\n5678\r\n0\r\n\r\n';
  const seen = (text: string): object[] =>
    answersOf(Buffer.from(text)).map(({ status, body, isWhole }) => ({
      status,
      body: body.toString(),
      isWhole,
    }));

  it('reads answers one after the other', () => {
    expect(seen(sized + chunked + sized)).toEqual([
      { status: 200, body: 'body', isWhole: true },
      { status: 502, body: 'one0123\r\n5678', isWhole: true },
      { status: 200, body: 'body', isWhole: true },
    ]);
    expect(answersOf(Buffer.from(sized))[0]?.headers.get('x-id')).toBe('a');
  });

  it('tells an answer that is cut anywhere', () => {
    for (const text of [sized, chunked]) {
      const bodyAt = text.indexOf('\r\n\r\n') + 4;
      for (let end = bodyAt; end < text.length; end++) {
        expect(seen(sized + text.slice(0, end))[1]).toMatchObject({ isWhole: false });
      }
    }
    expect(seen(sized.slice(0, 30))).toEqual([]);
  });
});
