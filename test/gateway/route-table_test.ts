import { describe, expect, it } from 'vitest';
import { RouteTable } from '../../src/gateway/route-table.js';
import { trafficConfig, trafficRoute } from './configs.js';

describe('RouteTable', () => {
  describe('routes', () => {
    const table = new RouteTable(
      trafficConfig({
        routes: [
          trafficRoute({ name: 'all', pathPrefix: '/a/' }),
          trafficRoute({ name: 'inner', pathPrefix: '/a/b/' }),
          trafficRoute({ name: 'other', host: 'other.example', pathPrefix: '/' }),
        ],
      }),
    );

    it('match by the longest path prefix of the host, in any order', () => {
      expect(table.route('shop.example', '/a/b/c')?.name).toBe('inner');
      expect(table.route('SHOP.example:8080', '/a/x')?.name).toBe('all');
    });

    it('do not match a path that contains only a part of a prefix', () => {
      expect(table.route('shop.example', '/ab')).toBeUndefined();
      expect(table.route('shop.example', '/a')).toBeUndefined();
      expect(table.route('unknown.example', '/a/')).toBeUndefined();
    });
  });

  describe('split routes', () => {
    it('send a request id to the same service each time, and many ids by the weights', () => {
      const route = trafficRoute({
        shares: [
          { serviceName: 'old', weight: 90 },
          { serviceName: 'new', weight: 10 },
        ],
      });
      const table = new RouteTable(trafficConfig({ routes: [route] }));
      const ids = Array.from({ length: 2_000 }, (_, index) => `request-${index}`);
      const chosen = ids.map((id) => table.serviceOf(route, id));
      expect(ids.map((id) => table.serviceOf(route, id))).toEqual(chosen);
      const share = chosen.filter((name) => name === 'new').length / ids.length;
      expect(share).toBeGreaterThan(0.05);
      expect(share).toBeLessThan(0.15);
    });

    it('never choose a service whose weight is 0', () => {
      const route = trafficRoute({
        shares: [
          { serviceName: 'off', weight: 0 },
          { serviceName: 'on', weight: 1 },
        ],
      });
      const table = new RouteTable(trafficConfig({ routes: [route] }));
      for (let index = 0; index < 100; index++) {
        expect(table.serviceOf(route, `request-${index}`)).toBe('on');
      }
    });
  });
});
