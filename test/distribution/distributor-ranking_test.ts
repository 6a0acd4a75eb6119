import { describe, expect, it } from 'vitest';
import {
  distributionGroups,
  type DistributionGroup,
  type DistributorCandidate,
} from '../../src/distribution/index.js';

/** Ranking of the group of `own`. */
function rankDistributors(
  own: DistributorCandidate,
  peers: readonly DistributorCandidate[],
): DistributionGroup {
  return distributionGroups([own, ...peers]).find((group) => group.includes(own)) ?? [];
}

function candidate(
  daemon: string,
  changes: Partial<DistributorCandidate> = {},
): DistributorCandidate {
  return {
    daemon,
    region: 'here',
    failureDomain: 'here-a',
    capacityCores: 1,
    address: `${daemon}:7600`,
    ...changes,
  };
}

function candidates(count: number, changes: Partial<DistributorCandidate> = {}) {
  const prefix = changes.failureDomain ?? 'here-a';
  return Array.from({ length: count }, (_, number) => candidate(`${prefix}-${number}`, changes));
}

describe('distributionGroups', () => {
  const [own, ...peers] = candidates(6);

  it('gives all daemons the same order, whatever the order in which they learned of each other', () => {
    const expected = rankDistributors(own!, peers);
    for (const other of peers) {
      const rest = [own!, ...peers].filter((peer) => peer !== other).reverse();
      expect(rankDistributors(other, rest)).toEqual(expected);
    }
  });

  it('prefers VMs with more capacity, so that a small one does not carry the others', () => {
    const large = candidate('large', { capacityCores: 1.35 });
    expect(rankDistributors(own!, [...peers, large])[0]).toBe(large);
  });

  it('keeps the order of the others when one leaves, so that few daemons change their distributor', () => {
    const [first, ...rest] = rankDistributors(own!, peers);
    const [one, ...others] = [own!, ...peers].filter((peer) => peer !== first);
    expect(rankDistributors(one!, others)).toEqual(rest);
  });

  it('never crosses regions, where each read would cost and take long', () => {
    const far = candidate('far', { region: 'there', failureDomain: 'there-a', capacityCores: 4 });
    expect(rankDistributors(own!, [...peers, far])).not.toContain(far);
  });

  describe('the daemons that share one', () => {
    const others = candidates(6, { failureDomain: 'here-b' });

    it('are those of a small region, so that few of them call the store', () => {
      expect(rankDistributors(own!, [...peers, ...others])).toHaveLength(12);
    });

    it('are those of a failure domain in a large region, so that none serves hundreds', () => {
      const many = candidates(60, { failureDomain: 'here-b' });
      expect(rankDistributors(own!, [...peers, ...many])).toHaveLength(6);
    });
  });

  it('leaves out daemons without an address, as builds before this one have none', () => {
    const old = candidate('old', { address: '', capacityCores: 9 });
    expect(rankDistributors(own!, [...peers, old])).not.toContain(old);
  });
});
