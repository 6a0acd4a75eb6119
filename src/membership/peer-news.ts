import { createSocket, type Socket } from 'node:dgram';
import { z } from 'zod';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { GrantReport } from './daemon-samples.js';

/** A long prompt that a daemon has sent to an endpoint. */
export interface PrefillNews {
  readonly endpointId: string;
  readonly tokens: number;
}

enum NewsKind {
  Prefill = 'prefill',
  Grants = 'grants',
}

const newsSchema = z.union([
  z.tuple([z.literal(NewsKind.Prefill), z.string(), z.number().nonnegative()]),
  z.tuple([
    z.literal(NewsKind.Grants),
    z.string().min(1),
    z.number(),
    z.record(z.string(), z.number().nonnegative()),
    z.record(z.string(), z.number().nonnegative()),
  ]),
]);

type News = z.output<typeof newsSchema>;

/** Address of a daemon's news socket. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of {@link PeerNews}. */
export interface PeerNewsOptions {
  readonly own: PeerAddress;
  /** Addresses of the other live daemons as host:port. */
  readonly peers: () => readonly string[];
  readonly onPrefill: (news: PrefillNews) => void;
  readonly onGrants: (report: GrantReport) => void;
  readonly events: EventLog;
}

/**
 * Tells the other daemons directly what the store would tell too late: long prompts as they are
 * sent, and what was granted of the quotas. Datagrams may be lost: a lost prompt costs one worse
 * placement, lost grants are part of the next report.
 */
export class PeerNews {
  readonly #options: PeerNewsOptions;
  readonly #socket: Socket = createSocket('udp4');

  constructor(options: PeerNewsOptions) {
    this.#options = options;
    this.#socket.on('message', (bytes) => {
      this.#receive(bytes);
    });
    this.#socket.on('error', (error) => {
      options.events.warn(EventId.ListenerFailed, 'the socket for news of peers failed', {
        reason: error.message,
      });
    });
  }

  listen(): void {
    const { host, port } = this.#options.own;
    this.#socket.bind(port, host);
    this.#socket.unref();
  }

  /** Tells all peers of a prompt. */
  tellPrefill({ endpointId, tokens }: PrefillNews): void {
    this.#tell([NewsKind.Prefill, endpointId, Math.round(tokens)]);
  }

  /** Tells all peers what this daemon granted and was asked for since its start. */
  tellGrants({ daemon, incarnation, granted, asked }: GrantReport): void {
    this.#tell([NewsKind.Grants, daemon, incarnation, granted, asked]);
  }

  close(): void {
    this.#socket.close();
  }

  #tell(news: News): void {
    const bytes = Buffer.from(JSON.stringify(news));
    for (const peer of this.#options.peers()) {
      const [host, port] = peer.split(':');
      this.#socket.send(bytes, Number(port), host);
    }
  }

  #receive(bytes: Buffer): void {
    const news = parseNews(bytes);
    if (news?.[0] === NewsKind.Prefill) {
      this.#options.onPrefill({ endpointId: news[1], tokens: news[2] });
    } else if (news) {
      const [, daemon, incarnation, granted, asked] = news;
      this.#options.onGrants({ daemon, incarnation, granted, asked });
    }
  }
}

function parseNews(bytes: Buffer): News | undefined {
  try {
    return newsSchema.safeParse(JSON.parse(bytes.toString())).data;
  } catch {
    return undefined; // Not from a daemon; anything can arrive at a datagram port.
  }
}
