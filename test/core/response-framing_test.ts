import { describe, expect, it } from 'vitest';
import {
  isFramed,
  requireFramed,
  UnframedResponseError,
  type ResponseHeaders,
} from '../../src/core/response-framing.js';

describe('the framing of a response', () => {
  it.each<[string, ResponseHeaders, boolean]>([
    ['a length', { 'content-length': '0' }, true],
    ['chunks', { 'transfer-encoding': 'chunked' }, true],
    ['chunks after another coding', { 'transfer-encoding': 'gzip, Chunked' }, true],
    ['another coding only', { 'transfer-encoding': 'identity' }, false],
    ['another coding last', { 'transfer-encoding': 'chunked, gzip' }, false],
    ['neither', { 'content-type': 'text/plain' }, false],
  ])('tells its end or does not: %s', (_what, headers, expected) => {
    expect(isFramed(headers)).toBe(expected);
  });

  it('is required of a success that may have a body', () => {
    expect(() => {
      requireFramed(200, {});
    }).toThrow(UnframedResponseError);
    for (const status of [204, 409, 503]) {
      expect(() => {
        requireFramed(status, {});
      }).not.toThrow();
    }
    expect(() => {
      requireFramed(200, { 'content-length': '2' });
    }).not.toThrow();
  });
});
