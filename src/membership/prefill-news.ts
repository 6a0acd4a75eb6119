import { createSocket, type Socket } from 'node:dgram';
import { z } from 'zod';
import { EventId, type EventLog } from '../telemetry/index.js';

/** A long prompt that a daemon has sent to an endpoint. */
export interface PrefillNews {
  readonly endpointId: string;
  readonly tokens: number;
}

const newsSchema = z.tuple([z.string(), z.number().nonnegative()]);

/** Address of a daemon's news socket. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of {@link PrefillNewsExchange}. */
export interface PrefillNewsExchangeOptions {
  readonly own: PeerAddress;
  /** Addresses of the other live daemons as host:port. */
  readonly peers: () => readonly string[];
  readonly onNews: (news: PrefillNews) => void;
  readonly events: EventLog;
}

/**
 * Tells the other daemons of long prompts as they are sent, since an engine's own report of them
 * would come too late. Datagrams may be lost: a lost one costs one worse placement.
 */
export class PrefillNewsExchange {
  readonly #options: PrefillNewsExchangeOptions;
  readonly #socket: Socket = createSocket('udp4');

  constructor(options: PrefillNewsExchangeOptions) {
    this.#options = options;
    this.#socket.on('message', (bytes) => {
      const news = parseNews(bytes);
      if (news) options.onNews(news);
    });
    this.#socket.on('error', (error) => {
      options.events.warn(EventId.ListenerFailed, 'the socket for prompt news failed', {
        reason: error.message,
      });
    });
  }

  listen(): void {
    const { host, port } = this.#options.own;
    this.#socket.bind(port, host);
    this.#socket.unref();
  }

  /** Tells all peers. */
  tell({ endpointId, tokens }: PrefillNews): void {
    const bytes = JSON.stringify([endpointId, Math.round(tokens)]);
    for (const peer of this.#options.peers()) {
      const [host, port] = peer.split(':');
      this.#socket.send(bytes, Number(port), host);
    }
  }

  close(): void {
    this.#socket.close();
  }
}

function parseNews(bytes: Buffer): PrefillNews | undefined {
  try {
    const parsed = newsSchema.safeParse(JSON.parse(bytes.toString())).data;
    return parsed && { endpointId: parsed[0], tokens: parsed[1] };
  } catch {
    return undefined; // Not from a daemon; anything can arrive at a datagram port.
  }
}
