import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { TLSSocket } from 'node:tls';

/** Decides whether a request comes from a daemon of this deployment. */
export type PeerAuthenticator = (request: IncomingMessage) => boolean;

/**
 * Accepts requests that carry the shared secret as a bearer token.
 *
 * @example
 * ```ts
 * const server = new RpcServer({ check: sharedSecretCheck(secret) });
 * ```
 */
export function sharedSecretAuthenticator(secret: string): PeerAuthenticator {
  const expected = digest(`Bearer ${secret}`);
  return (request) => timingSafeEqual(digest(request.headers.authorization ?? ''), expected);
}

/**
 * Accepts requests over mutual TLS whose verified client certificate has one of the common names.
 *
 * @param names - read on each request, so that a reload of the settings takes effect.
 */
export function clientCertificateAuthenticator(
  names: () => ReadonlySet<string>,
): PeerAuthenticator {
  return ({ socket }) => {
    if (!(socket instanceof TLSSocket) || !socket.authorized) return false;
    const name: unknown = socket.getPeerCertificate().subject.CN;
    return typeof name === 'string' && names().has(name);
  };
}

/** Equal lengths are required by `timingSafeEqual`, so digests are compared. */
function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
