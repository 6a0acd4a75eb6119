import { describe, expect, it } from 'vitest';
import { PrefillBacklog, maxPromptWork, weightedTokens } from '../../src/fleet/prefill-backlog.js';

describe('PrefillBacklog', () => {
  // One stated size kept an endpoint from getting prompts for hours, at all daemons.
  it('expects no longer wait than callers have, however many tokens were stated', () => {
    const backlog = new PrefillBacklog();
    for (let sends = 0; sends < 100; sends++) backlog.add('i-1', weightedTokens(16_777_216), 0);
    expect(backlog.waitMs('i-1', 0)).toBeLessThanOrEqual(60_000);
    expect(backlog.waitMs('i-1', 60_000)).toBe(0);
  });

  it('counts a prompt by its length up to the longest that an endpoint prefills', () => {
    expect(weightedTokens(50_000)).toBe(100_000);
    expect(weightedTokens(Infinity)).toBe(maxPromptWork);
  });
});
