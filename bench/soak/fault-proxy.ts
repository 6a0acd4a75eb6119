import { createServer, connect, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { listen } from '../../src/core/listener.js';

/** What a proxy does to the connections through it. */
export enum LinkFault {
  None = 'none',
  /** Bytes wait on their way, in both directions. */
  Delayed = 'delayed',
  /** All connections are reset, new ones at once. */
  Reset = 'reset',
  /** Open connections carry nothing any more, for good; new ones work. */
  Silenced = 'silenced',
  /** Bytes towards the server are lost; answers still come. New connections get no answer. */
  CutToServer = 'cut_to_server',
  /** Answers are lost; the server still hears. */
  CutToClient = 'cut_to_client',
}

interface Link {
  readonly client: Socket;
  readonly server: Socket;
  isSilent: boolean;
}

const delayMs = 400;

/** TCP proxy on loopback that harms the connections through it. */
export class FaultProxy {
  readonly #target: { readonly host: string; readonly port: number };
  readonly #server: Server;
  readonly #links = new Set<Link>();
  #fault = LinkFault.None;

  constructor(target: { readonly host: string; readonly port: number }) {
    this.#target = target;
    this.#server = createServer((client) => {
      this.#accept(client);
    });
  }

  listen(host: string): Promise<number> {
    return listen(this.#server, host, 0);
  }

  setFault(fault: LinkFault): void {
    this.#fault = fault;
    for (const link of this.#links) {
      if (fault === LinkFault.Reset) reset(link);
      if (fault === LinkFault.Silenced) link.isSilent = true;
    }
  }

  close(): Promise<void> {
    for (const link of this.#links) reset(link);
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #accept(client: Socket): void {
    if (this.#fault === LinkFault.Reset) {
      client.resetAndDestroy();
      return;
    }
    const server = connect({ ...this.#target, noDelay: true });
    const link: Link = { client, server, isSilent: false };
    this.#links.add(link);
    this.#carry(link, client, server, LinkFault.CutToServer);
    this.#carry(link, server, client, LinkFault.CutToClient);
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      // Either side's failure is a fault under test; the other side learns of it below.
      socket.on('error', () => undefined);
      socket.on('close', (hadError) => {
        // An orderly end of the server is carried behind its bytes; a client that is gone reads none.
        const isOrderlyEnd = socket === server && !hadError;
        if (!isOrderlyEnd && !link.isSilent) reset(link);
        if (client.destroyed && server.destroyed) this.#links.delete(link);
      });
    }
  }

  /** Carries one direction of a connection. As in TCP, nothing overtakes, and nothing comes after a gap. */
  #carry(link: Link, from: Socket, to: Socket, cut: LinkFault): void {
    let hasGap = false;
    let carried: Promise<unknown> = Promise.resolve();
    const isLost = (): boolean => {
      hasGap ||= link.isSilent || this.#fault === cut;
      return hasGap;
    };
    const later = (action: () => void): void => {
      const delayed = this.#fault === LinkFault.Delayed ? sleep(delayMs) : undefined;
      carried = Promise.all([carried, delayed]).then(action);
    };
    from.on('data', (bytes: Buffer) => {
      if (!isLost()) later(() => to.write(bytes));
    });
    from.on('end', () => {
      if (!isLost()) later(() => to.end());
    });
  }
}

function reset({ client, server }: Link): void {
  client.resetAndDestroy();
  server.resetAndDestroy();
}
