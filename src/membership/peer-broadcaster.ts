import { createSocket, type Socket } from 'node:dgram';
import { z } from 'zod';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { GrantReport } from './daemon-samples.js';

/** A long prompt that a daemon has sent to an endpoint. */
export interface PrefillReport {
  readonly endpointId: string;
  readonly tokens: number;
}

enum BroadcastKind {
  Prefill = 'prefill',
  Grants = 'grants',
}

const broadcastSchema = z.union([
  z.tuple([z.literal(BroadcastKind.Prefill), z.string(), z.number().nonnegative()]),
  z.tuple([
    z.literal(BroadcastKind.Grants),
    z.string().min(1),
    z.number(),
    z.record(z.string(), z.number().nonnegative()),
    z.record(z.string(), z.number().nonnegative()),
  ]),
]);

type BroadcastMessage = z.output<typeof broadcastSchema>;

/** Address of a daemon's broadcast socket. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of {@link PeerBroadcaster}. */
export interface PeerBroadcasterOptions {
  readonly listenAddress: PeerAddress;
  /** Addresses of the daemons to send to, as host:port. */
  readonly peers: () => readonly string[];
  readonly onPrefill: (report: PrefillReport) => void;
  readonly onGrants: (report: GrantReport) => void;
  readonly events: EventLog;
}

/**
 * Sends the other daemons directly what the store would deliver too late: long prompts as they are
 * sent to endpoints, and the grants of the quotas. Datagrams may be lost: a lost prompt costs one
 * worse placement, and lost grants are contained in the next report.
 */
export class PeerBroadcaster {
  readonly #options: PeerBroadcasterOptions;
  readonly #socket: Socket = createSocket('udp4');

  constructor(options: PeerBroadcasterOptions) {
    this.#options = options;
    this.#socket.on('message', (bytes) => {
      this.#receive(bytes);
    });
    this.#socket.on('error', (error) => {
      options.events.warn(
        EventId.ListenerFailed,
        'socket for peer broadcasts failed; datagrams may be lost',
        {
          reason: error.message,
        },
      );
    });
  }

  listen(): void {
    const { host, port } = this.#options.listenAddress;
    this.#socket.bind(port, host);
    this.#socket.unref();
  }

  /** Sends all peers a prompt that this daemon has sent to an endpoint. */
  broadcastPrefill({ endpointId, tokens }: PrefillReport): void {
    this.#broadcast([BroadcastKind.Prefill, endpointId, Math.round(tokens)]);
  }

  /** Sends all peers the units granted by and requested from this daemon since it started. */
  broadcastGrants({ daemon, incarnation, granted, asked }: GrantReport): void {
    this.#broadcast([BroadcastKind.Grants, daemon, incarnation, granted, asked]);
  }

  close(): void {
    this.#socket.close();
  }

  #broadcast(message: BroadcastMessage): void {
    const bytes = Buffer.from(JSON.stringify(message));
    for (const peer of this.#options.peers()) {
      const [host, port] = peer.split(':');
      this.#socket.send(bytes, Number(port), host);
    }
  }

  #receive(bytes: Buffer): void {
    const message = parseMessage(bytes);
    if (message?.[0] === BroadcastKind.Prefill) {
      this.#options.onPrefill({ endpointId: message[1], tokens: message[2] });
    } else if (message) {
      const [, daemon, incarnation, granted, asked] = message;
      this.#options.onGrants({ daemon, incarnation, granted, asked });
    }
  }
}

function parseMessage(bytes: Buffer): BroadcastMessage | undefined {
  try {
    return broadcastSchema.safeParse(JSON.parse(bytes.toString())).data;
  } catch {
    return undefined; // Not from a daemon: any datagram can arrive at a UDP port.
  }
}
