import type { PeerCaller, PeerMethodRegistry } from '../rpc/index.js';
import {
  gossipMessageSchema,
  gossipReplySchema,
  type GossipMessage,
  type GossipReply,
} from './gossip-message.js';

/** Handles the message of a peer and returns the reply. */
export type GossipHandler = (message: GossipMessage) => Promise<GossipReply>;

/**
 * Sends and receives the messages of the membership protocol.
 *
 * @example
 * ```ts
 * const reply = await transport.send('http://10.0.0.2:7000', message, clock.nowMs() + 400);
 * ```
 */
export abstract class PeerTransport {
  /** @throws Error when no valid reply arrives by `deadlineAtMs` (epoch milliseconds). */
  abstract send(rpcUrl: string, message: GossipMessage, deadlineAtMs: number): Promise<GossipReply>;

  /** Sets the handler of incoming messages. */
  abstract serve(handler: GossipHandler): void;
}

const gossipMethod = 'membership.gossip';

/** {@link PeerTransport} over JSON-RPC. */
export class RpcPeerTransport extends PeerTransport {
  readonly #caller: PeerCaller;
  readonly #methods: PeerMethodRegistry;

  constructor(caller: PeerCaller, methods: PeerMethodRegistry) {
    super();
    this.#caller = caller;
    this.#methods = methods;
  }

  override async send(
    rpcUrl: string,
    message: GossipMessage,
    deadlineAtMs: number,
  ): Promise<GossipReply> {
    return gossipReplySchema.parse(
      await this.#caller.call(rpcUrl, gossipMethod, message, { deadlineAtMs }),
    );
  }

  override serve(handler: GossipHandler): void {
    this.#methods.register(gossipMethod, (params) => handler(gossipMessageSchema.parse(params)));
  }
}
