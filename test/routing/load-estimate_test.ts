import { describe, expect, it } from 'vitest';
import { assumeLikePeers, defaultAssumptions } from '../../src/routing/index.js';
import { view } from './views.js';

const unobserved = { tokenGapMs: undefined, prefillTokensPerS: undefined, slowdownRatio: 1 };

describe('assumeLikePeers', () => {
  describe('with a new endpoint among observed ones', () => {
    it('assumes their speed, so that the new one is not priced out of all work', () => {
      const speed = { tokenGapMs: 10, prefillTokensPerS: 20_000, slowdownRatio: 1 };
      const views = [view('a', { speed }), view('b', { speed }), view('c', { speed: unobserved })];
      expect(assumeLikePeers(views, defaultAssumptions)).toMatchObject({
        tokenGapMs: 10,
        prefillTokensPerS: 20_000,
      });
    });
  });

  describe('with nothing observed', () => {
    it('keeps the defaults', () => {
      const views = [view('a', { speed: unobserved })];
      expect(assumeLikePeers(views, defaultAssumptions)).toBe(defaultAssumptions);
    });
  });
});
