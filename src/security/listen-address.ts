import { isIP } from 'node:net';
import { OrioleError, Step } from '../core/index.js';

/** Options of {@link checkListenAddress}. */
export interface ListenAddressOptions {
  /** IP address or host name to listen on. */
  readonly host: string;
  /** Name of the listener for the error message: `caller`, `admin` or `rpc`. */
  readonly listener: string;
  /** Whether every request on the listener is authenticated, by keys or by mutual TLS. */
  readonly isAuthenticated: boolean;
  /** Whether the settings permit a listener without authentication. */
  readonly allowUnauthenticated: boolean;
}

/**
 * True for 127.0.0.0/8 (also mapped to IPv6), ::1 and `localhost`.
 *
 * @example
 * ```ts
 * isLoopback('0.0.0.0'); // false
 * ```
 */
export function isLoopback(host: string): boolean {
  if (host === 'localhost' || host === '::1') return true;
  const address = host.startsWith('::ffff:') ? host.slice(7) : host;
  return isIP(address) === 4 && address.startsWith('127.');
}

/**
 * Checks that a listener that other hosts can reach authenticates its requests.
 *
 * @throws OrioleError (step `security`) when the address is not a loopback address, requests are
 * not authenticated and the settings do not permit that.
 * @example
 * ```ts
 * checkListenAddress({ host, listener: 'rpc', isAuthenticated: mutualTls, allowUnauthenticated });
 * ```
 */
export function checkListenAddress(request: ListenAddressOptions): void {
  if (request.isAuthenticated || request.allowUnauthenticated || isLoopback(request.host)) return;
  throw new OrioleError(
    `refusing to listen on ${request.host} for ${request.listener} requests without ` +
      'authentication; configure keys or mutual TLS, listen on 127.0.0.1, or set ' +
      'allow_unauthenticated = true in the daemon file',
    { step: Step.Security, peer: request.host },
  );
}
