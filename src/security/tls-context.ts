import { readFile } from 'node:fs/promises';
import type { ServerOptions } from 'node:https';
import {
  createSecureContext,
  type ConnectionOptions,
  type SecureContextOptions,
  type Server,
} from 'node:tls';
import { buildConnector } from 'undici';
import { OrioleError, sha256Hex, Step, type Clock } from '../core/index.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';

/** Paths of a daemon's PEM files. */
export interface TlsFiles {
  /** Certificate, followed by any intermediate certificates. */
  readonly certFile: string;
  /** Private key of the certificate. */
  readonly keyFile: string;
  /**
   * Certificates of the authorities that other daemons' certificates must chain to. Without it, the
   * system's authorities are trusted and client certificates cannot be required.
   */
  readonly caFile?: string | undefined;
}

/** Options of {@link TlsContext}. */
export interface TlsContextOptions {
  readonly files: TlsFiles;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Interval at which the files are checked for changes; default: 10 000 ms. */
  readonly checkIntervalMs?: number;
}

interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer | undefined;
  readonly digest: string;
}

/**
 * TLS certificates that are loaded from files and reloaded when the files change. Open connections
 * keep the certificate with which they were established.
 *
 * The files are compared by content, which also detects a replaced symbolic link. When the files do
 * not match each other, for example because only one of two has been written yet, the certificates
 * in use stay until a later check finds a matching set.
 *
 * @example
 * ```ts
 * const tls = await TlsContext.load({ files, clock, log, metrics });
 * const server = createServer(tls.serverOptions({ requireClientCert: true }), handler);
 * const detach = tls.attach(server);
 * const agent = new Agent({ connect: tls.connector() });
 * ```
 */
export class TlsContext {
  readonly #files: TlsFiles;
  readonly #log: EventLog;
  readonly #metrics: Metrics;
  readonly #servers = new Set<Server>();
  readonly #listeners: (() => void)[] = [];
  readonly #stopChecking: () => void;
  #material: TlsMaterial;
  #rejectedDigest = '';
  #connector: buildConnector.connector;

  private constructor(options: TlsContextOptions, material: TlsMaterial) {
    this.#files = options.files;
    this.#log = options.log;
    this.#metrics = options.metrics;
    this.#material = material;
    this.#connector = buildConnector(this.clientOptions());
    this.#stopChecking = options.clock.every(options.checkIntervalMs ?? 10_000, () => {
      void this.reloadIfChanged();
    });
  }

  /**
   * Reads the files and starts checking them for changes.
   *
   * @throws OrioleError (step `security`) when a file cannot be read or the key does not match the
   *   certificate.
   */
  static async load(options: TlsContextOptions): Promise<TlsContext> {
    const { certFile, keyFile, caFile } = options.files;
    try {
      const material = await readMaterial(options.files);
      assertUsable(material);
      return new TlsContext(options, material);
    } catch (error) {
      throw new OrioleError(
        `cannot load TLS files ${[certFile, keyFile, caFile].filter(Boolean).join(', ')}: ${messageOf(error)}; ` +
          'check that they are readable PEM files and that the key belongs to the certificate',
        { step: Step.Security, peer: certFile, cause: error },
      );
    }
  }

  /**
   * Options of an `https` server.
   *
   * @param options - `requireClientCert` refuses clients without a certificate signed by the
   * authorities; it is set for the listener that serves other daemons.
   * @throws OrioleError (step `security`) when client certificates are required without a `caFile`.
   */
  serverOptions(options: { readonly requireClientCert: boolean }): ServerOptions {
    if (options.requireClientCert && !this.#material.ca) {
      throw new OrioleError(
        'mutual TLS needs the CA certificates of the other daemons; set ca_file to their file',
        { step: Step.Security, peer: this.#files.certFile },
      );
    }
    return {
      ...this.#credentials(),
      requestCert: options.requireClientCert,
      rejectUnauthorized: options.requireClientCert,
    };
  }

  /** Options of a connection to another daemon, with this daemon's own certificate. */
  clientOptions(): ConnectionOptions {
    return { ...this.#credentials(), rejectUnauthorized: true };
  }

  /** Connector for an undici `Agent`; each new connection uses the current certificates. */
  connector(): buildConnector.connector {
    return (options, callback) => {
      this.#connector(options, callback);
    };
  }

  /**
   * Updates the certificates of `server` whenever they change.
   *
   * @returns a function that detaches the server.
   */
  attach(server: Server): () => void {
    this.#servers.add(server);
    return () => {
      this.#servers.delete(server);
    };
  }

  /** Calls `listener` after each change of the certificates, so that clients can reconnect. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Reloads the certificates when the files differ from those in use; the timer calls it too.
   *
   * @returns whether new certificates are in use.
   */
  async reloadIfChanged(): Promise<boolean> {
    let digest = '';
    try {
      const material = await readMaterial(this.#files);
      digest = material.digest;
      if (digest === this.#material.digest) return false;
      assertUsable(material);
      this.#material = material;
    } catch (error) {
      this.#metrics.count('tls_reloads', 1, { result: 'rejected' });
      // Logs each state of the files once instead of at every check.
      if (this.#rejectedDigest !== `${digest} ${messageOf(error)}`) {
        this.#rejectedDigest = `${digest} ${messageOf(error)}`;
        this.#log.warn(
          EventId.CertificatesRejected,
          'changed certificate files are not usable; keeping the current certificates',
          {
            certFile: this.#files.certFile,
            message: messageOf(error),
          },
        );
      }
      return false;
    }
    this.#connector = buildConnector(this.clientOptions());
    for (const server of this.#servers) server.setSecureContext(this.#credentials());
    for (const listener of this.#listeners) listener();
    this.#rejectedDigest = '';
    this.#metrics.count('tls_reloads', 1, { result: 'accepted' });
    this.#log.info(
      EventId.CertificatesReloaded,
      'certificates reloaded; new connections use them',
      {
        certFile: this.#files.certFile,
      },
    );
    return true;
  }

  /** Stops checking the files. */
  close(): void {
    this.#stopChecking();
    this.#servers.clear();
  }

  #credentials(): SecureContextOptions {
    const { cert, key, ca } = this.#material;
    return { cert, key, minVersion: 'TLSv1.2', ...(ca && { ca }) };
  }
}

async function readMaterial(files: TlsFiles): Promise<TlsMaterial> {
  const [cert, key, ca] = await Promise.all([
    readFile(files.certFile),
    readFile(files.keyFile),
    files.caFile ? readFile(files.caFile) : undefined,
  ]);
  return { cert, key, ca, digest: [cert, key, ca ?? ''].map(sha256Hex).join(' ') };
}

/** @throws Error when the key does not match the certificate or a file is not PEM. */
function assertUsable({ cert, key, ca }: TlsMaterial): void {
  createSecureContext({ cert, key, ...(ca && { ca }) });
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
