import { createServer, request as httpRequest } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, expect, it } from 'vitest';
import { CallerConnections } from '../../src/core/index.js';
import { CallerExchange, ExchangeStateError } from '../../src/gateway/caller-exchange.js';

/** Answers one request by `answer`. Resolves with what its caller received. */
async function exchangeWith(
  answer: (exchange: CallerExchange) => void,
): Promise<{ status: number; body: string; isComplete: boolean }> {
  const connections = new CallerConnections();
  const server = createServer((request, response) => {
    const connection = connections.of(request.socket);
    answer(new CallerExchange({ request, response, connection, receivedAtMs: 0 }));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  try {
    return await new Promise((resolve, reject) => {
      const outgoing = httpRequest({ host: '127.0.0.1', port, agent: false }, (response) => {
        let body = '';
        response.on('data', (chunk: Buffer) => (body += chunk.toString()));
        response.on('error', () => undefined);
        response.on('close', () => {
          resolve({ status: response.statusCode ?? 0, body, isComplete: response.complete });
        });
      });
      outgoing.on('error', reject);
      outgoing.end();
    });
  } finally {
    server.close();
  }
}

// What did not fit the state of a response was dropped in silence, and bytes of one response were
// sent as part of another.
describe('CallerExchange', () => {
  it('sends one response whole', async () => {
    const received = await exchangeWith((exchange) => {
      exchange.writeHead(200, {});
      exchange.write(Buffer.from('a'));
      exchange.end();
    });
    expect(received).toEqual({ status: 200, body: 'a', isComplete: true });
  });

  it.each<[string, (exchange: CallerExchange) => void]>([
    [
      'a second head',
      (exchange) => {
        exchange.writeHead(500, {});
      },
    ],
    [
      'a whole response after a head',
      (exchange) => {
        exchange.respond(500, {}, Buffer.from('failed'));
      },
    ],
  ])('refuses %s', async (_kind, misuse) => {
    const received = await exchangeWith((exchange) => {
      exchange.writeHead(200, {});
      exchange.write(Buffer.from('a'));
      expect(() => {
        misuse(exchange);
      }).toThrow(ExchangeStateError);
      exchange.end();
    });
    expect(received).toEqual({ status: 200, body: 'a', isComplete: true });
  });

  it('refuses a body before its head and after its end', async () => {
    const received = await exchangeWith((exchange) => {
      expect(() => exchange.write(Buffer.from('a'))).toThrow(ExchangeStateError);
      expect(() => {
        exchange.end();
      }).toThrow(ExchangeStateError);
      exchange.respond(200, {}, Buffer.from('b'));
      expect(() => exchange.write(Buffer.from('c'))).toThrow(ExchangeStateError);
    });
    expect(received).toEqual({ status: 200, body: 'b', isComplete: true });
  });
});
