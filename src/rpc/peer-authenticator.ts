import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { TLSSocket } from 'node:tls';

/** Returns whether a request comes from a daemon of this deployment. */
export type PeerAuthenticator = (request: IncomingMessage) => boolean;

/**
 * Accepts requests that carry the shared secret as a bearer token.
 *
 * @example
 * ```ts
 * const server = new RpcServer({ authenticator: sharedSecretAuthenticator(secret) });
 * ```
 */
export function sharedSecretAuthenticator(secret: string): PeerAuthenticator {
  const expected = digest(`Bearer ${secret}`);
  return (request) => timingSafeEqual(digest(request.headers.authorization ?? ''), expected);
}

/**
 * Accepts requests over mutual TLS with a verified client certificate that has one of the common
 * names.
 *
 * @param names - accepted common names; evaluated for each request, so that reloaded settings take
 *   effect.
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

/** `timingSafeEqual` requires inputs of equal length, so digests are compared. */
function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
