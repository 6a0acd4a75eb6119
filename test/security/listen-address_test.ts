import { describe, expect, it } from 'vitest';
import { checkListenAddress, isLoopback } from '../../src/security/index.js';

describe('checkListenAddress', () => {
  const open = { listener: 'rpc', isAuthenticated: false, allowUnauthenticated: false };

  it('refuses an unauthenticated listener on any address that is not loopback', () => {
    for (const host of ['0.0.0.0', '::', '10.0.0.1', '::ffff:10.0.0.1', 'entry-1', '127.example']) {
      expect(isLoopback(host)).toBe(false);
      expect(() => checkListenAddress({ ...open, host })).toThrow(/without\s+authentication/);
    }
  });

  it('allows loopback addresses, authenticated listeners and the setting that permits open ones', () => {
    for (const host of ['127.0.0.1', '127.8.0.1', '::1', 'localhost', '::ffff:127.0.0.1']) {
      expect(() => checkListenAddress({ ...open, host })).not.toThrow();
    }
    const host = '0.0.0.0';
    expect(() => checkListenAddress({ ...open, host, isAuthenticated: true })).not.toThrow();
    expect(() => checkListenAddress({ ...open, host, allowUnauthenticated: true })).not.toThrow();
  });
});
