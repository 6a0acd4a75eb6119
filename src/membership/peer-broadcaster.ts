import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import type { Clock } from '../core/index.js';
import { retryWhileBusy } from '../core/listener.js';
import type { QuarantineMessage } from '../quarantine/quarantine-message.js';
import type { RolloutMessage } from '../rollout/rollout-message.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import {
  BatchScope,
  BroadcastKind,
  decodeBatch,
  encodeBatch,
  grantMessage,
  leavingMessage,
  prefillMessage,
  quarantineBroadcast,
  rolloutBroadcast,
  suspicionMessage,
  type BroadcastBatch,
  type BroadcastMessage,
  type PrefillReport,
} from './broadcast-message.js';
import { BroadcastRelay, type BroadcastRoutes } from './broadcast-relay.js';
import type { GrantReport } from './daemon-samples.js';

/** Address of a daemon's broadcast socket. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of {@link PeerBroadcaster}. */
export interface PeerBroadcasterOptions {
  readonly daemon: string;
  readonly listenAddress: PeerAddress;
  readonly routes: () => BroadcastRoutes;
  readonly onPrefill: (report: PrefillReport) => void;
  readonly onGrants: (report: GrantReport) => void;
  /** Called when another daemon could not reach an endpoint. */
  readonly onSuspicion: (endpointId: string, daemon: string) => void;
  /** Called when an endpoint has told another daemon that it leaves, `ageMs` milliseconds ago. */
  readonly onLeaving: (endpointId: string, daemon: string, ageMs: number) => void;
  /** Called when another daemon reports endpoints that crashed, or what they crashed under. */
  readonly onQuarantine: (message: QuarantineMessage) => void;
  /** Called when another daemon tells of a rollout. */
  readonly onRollout?: (message: RolloutMessage, daemon: string) => void;
  readonly clock: Clock;
  readonly events: EventLog;
}

/**
 * Sends the other daemons by datagram what the store would deliver too late: long prompts as they
 * are sent to endpoints, and the grants of the quotas. {@link BroadcastRelay} decides by which way.
 * Datagrams may be lost: a lost prompt costs one worse placement, and lost grants are contained in
 * the next report.
 */
export class PeerBroadcaster {
  readonly #options: PeerBroadcasterOptions;
  readonly #socket: Socket = createSocket('udp4');
  readonly #relay: BroadcastRelay;
  /** The batch that was encoded last, as the same one goes to many addresses. */
  #encoded: { readonly batch: BroadcastBatch; readonly bytes: Buffer } | undefined;

  #isClosed = false;
  /** Whether an attempt to bind the port has failed and another is to follow. */
  #isPortBusy = false;

  constructor(options: PeerBroadcasterOptions) {
    this.#options = options;
    const { daemon, listenAddress, routes, clock } = options;
    this.#relay = new BroadcastRelay({
      daemon,
      address: `${listenAddress.host}:${listenAddress.port}`,
      routes,
      send: (address, batch) => {
        this.#send(address, batch);
      },
      deliver: (message) => {
        this.#deliver(message);
      },
      clock,
    });
    this.#socket.on('message', (bytes) => {
      const batch = decodeBatch(bytes);
      if (batch) this.#relay.receive(batch);
    });
  }

  /** Starts to receive; a port that is in use is tried again for 10 s. */
  listen(): void {
    const bound = retryWhileBusy(() => this.#bind()).catch((error: unknown) => {
      this.#warn(error);
    });
    void bound.then(() => {
      this.#isPortBusy = false;
      this.#socket.on('error', (error) => {
        this.#warn(error);
      });
    });
  }

  async #bind(): Promise<void> {
    if (this.#isClosed) return;
    const { host, port } = this.#options.listenAddress;
    const listening = once(this.#socket, 'listening');
    this.#socket.bind(port, host);
    this.#socket.unref();
    try {
      await listening;
    } catch (error) {
      this.#isPortBusy = true;
      throw error;
    }
  }

  #warn(error: unknown): void {
    this.#options.events.warn(
      EventId.ListenerFailed,
      'socket for peer broadcasts failed; datagrams may be lost',
      { reason: error instanceof Error ? error.message : String(error) },
    );
  }

  /** Sends all peers a prompt that this daemon has sent to an endpoint. */
  broadcastPrefill(report: PrefillReport): void {
    this.#relay.publish(prefillMessage(this.#options.daemon, report));
  }

  /** Tells all peers that this daemon could not reach an endpoint. */
  broadcastSuspicion(endpointId: string): void {
    this.#relay.publish(suspicionMessage(this.#options.daemon, endpointId));
  }

  /** Tells all peers that an endpoint has told this daemon that it leaves. */
  broadcastLeaving(endpointId: string, ageMs: number): void {
    this.#relay.publish(leavingMessage(this.#options.daemon, endpointId, ageMs));
  }

  /** Tells all peers of endpoints that crashed, or of what they crashed under. */
  broadcastQuarantine(message: QuarantineMessage): void {
    this.#relay.publish(quarantineBroadcast(this.#options.daemon, message));
  }

  /** Tells all peers of a rollout. */
  broadcastRollout(message: RolloutMessage): void {
    this.#relay.publish(rolloutBroadcast(this.#options.daemon, message));
  }

  /** Tells one peer of a rollout, at host:port. */
  sendRollout(address: string, message: RolloutMessage): void {
    const { daemon, listenAddress } = this.#options;
    this.#send(address, {
      scope: BatchScope.Receiver,
      sender: daemon,
      senderAddress: `${listenAddress.host}:${listenAddress.port}`,
      messages: [rolloutBroadcast(daemon, message)],
    });
  }

  /** Sends all peers the units granted by and requested from this daemon since it started. */
  broadcastGrants(report: GrantReport): void {
    this.#relay.publish(grantMessage(report));
  }

  close(): void {
    this.#isClosed = true;
    this.#relay.stop();
    this.#socket.close();
  }

  #send(address: string, batch: BroadcastBatch): void {
    // What is published while the daemon ends is lost, as any datagram may be, and while its port is
    // in use: sending would bind the socket to another one.
    if (this.#isClosed || this.#isPortBusy) return;
    if (this.#encoded?.batch !== batch) this.#encoded = { batch, bytes: encodeBatch(batch) };
    const at = address.lastIndexOf(':');
    const port = Number(address.slice(at + 1));
    if (port > 0) this.#socket.send(this.#encoded.bytes, port, address.slice(0, at));
  }

  #deliver(message: BroadcastMessage): void {
    const { daemon, onPrefill, onGrants, onSuspicion, onLeaving, onQuarantine } = this.#options;
    switch (message[0]) {
      case BroadcastKind.Grants: {
        const [, sender, incarnation, granted, asked] = message;
        if (sender !== daemon) onGrants({ daemon: sender, incarnation, granted, asked });
        break;
      }
      case BroadcastKind.Prefill: {
        const [, endpointId, tokens, sender] = message;
        if (sender !== daemon) onPrefill({ endpointId, tokens });
        break;
      }
      case BroadcastKind.Suspicion: {
        const [, endpointId, sender] = message;
        if (sender !== daemon) onSuspicion(endpointId, sender);
        break;
      }
      case BroadcastKind.Leaving: {
        const [, endpointId, ageMs, sender] = message;
        if (sender !== daemon) onLeaving(endpointId, sender, ageMs);
        break;
      }
      case BroadcastKind.Quarantine: {
        const [, content, sender] = message;
        if (sender !== daemon) onQuarantine(content);
        break;
      }
      case BroadcastKind.Rollout: {
        const [, content, sender] = message;
        if (sender !== daemon) this.#options.onRollout?.(content, sender);
        break;
      }
    }
  }
}
