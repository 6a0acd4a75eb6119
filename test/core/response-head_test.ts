import { describe, expect, it } from 'vitest';
import { MalformedHeadError, requireSoundHead } from '../../src/core/response-head.js';
import type { ResponseHeaders } from '../../src/core/response-framing.js';

describe('a head that a parser has read', () => {
  it.each<[string, number, ResponseHeaders]>([
    ['with a length', 200, { 'content-length': '2', 'x-a': '1' }],
    ['with chunks', 200, { 'transfer-encoding': 'chunked' }],
    ['with chunks in capital letters', 200, { 'transfer-encoding': 'CHUNKED' }],
    ['that ends with its connection', 200, { connection: 'close' }],
    ['without a field', 204, {}],
    ['of a refusal', 503, { 'retry-after': '1' }],
    ['with two lines of a name', 200, { 'set-cookie': ['a=1', 'b=2'] }],
    ['with an empty value, a tab and bytes above ASCII', 200, { 'x-a': '', 'x-b': '1\t\xe9\x85' }],
  ])('is sound: %s', (_what, status, headers) => {
    expect(() => {
      requireSoundHead(status, headers);
    }).not.toThrow();
  });

  it.each<[string, number, ResponseHeaders]>([
    ['a status that HTTP does not have', 0, {}],
    ['a status above those of HTTP', 600, {}],
    ['the status of an interim response', 103, {}],
    ['a name with a blank', 200, { 'x a': '1' }],
    ['a name with a blank behind it', 200, { 'content-length ': '2' }],
    ['a name with a control character', 200, { 'x-\x01a': '1' }],
    ['a name with a byte above ASCII', 200, { 'x-\xe9': '1' }],
    ['an empty name', 200, { '': '1' }],
    ['a value with a control character', 200, { 'x-a': '1\0' }],
    ['a value with a line end', 200, { 'x-a': ['1', '2\r\n 3'] }],
    ['another transfer coding', 200, { 'transfer-encoding': 'gzip' }],
    ['another transfer coding before chunks', 200, { 'transfer-encoding': 'gzip, chunked' }],
    ['an empty transfer coding', 200, { 'transfer-encoding': '' }],
    ['chunks twice', 200, { 'transfer-encoding': ['chunked', 'chunked'] }],
    ['chunks and a length', 200, { 'transfer-encoding': 'chunked', 'content-length': '2' }],
  ])('is malformed: %s', (_what, status, headers) => {
    expect(() => {
      requireSoundHead(status, headers);
    }).toThrow(MalformedHeadError);
  });
});
