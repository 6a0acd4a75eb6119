import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { trafficConfig } from './configs.js';
import { GatewayHarness, respondWith } from './gateway-harness.js';

const maxBodyBytes = 1_048_576;

/** Memory of the smallest VM that a daemon runs on. */
const vmBytes = 250_000_000;

/** Long after what is waited for, also on a busy machine, where 120 MB take seconds to come. */
const giveUpMs = 20_000;

/** Callers whose bodies would take half of it. */
const manyCallers = Math.ceil(vmBytes / 2 / maxBodyBytes);

describe('request bodies that many callers send at once', () => {
  let harness: GatewayHarness;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    harness = new GatewayHarness();
    await harness.start(trafficConfig(), respondWith(200, 'done'));
  });

  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    await harness.stop();
  });

  /** Sends a head and some bytes of its body, and collects what comes back. */
  function send(
    id: string,
    contentLength: number,
    bytes: number,
    deadlineMs = 60_000,
  ): { received: string } {
    const exchange = { received: '' };
    const socket = connect(harness.gateway.port, '127.0.0.1');
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      exchange.received += data.toString();
    });
    socket.write(
      `POST /x HTTP/1.1\r\nhost: shop.example\r\noriolestack-request-id: ${id}\r\n` +
        `oriolestack-deadline-ms: ${deadlineMs}\r\ncontent-length: ${contentLength}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(bytes));
    return exchange;
  }

  async function waitFor(condition: () => boolean): Promise<void> {
    const deadlineAtMs = harness.clock.nowMs() + giveUpMs;
    while (!condition() && harness.clock.nowMs() < deadlineAtMs) await harness.wait(20);
  }

  /** Bodies of which all but the last byte have come. */
  function sendAlmostAll(): { received: string }[] {
    return Array.from({ length: manyCallers }, (_, caller) =>
      send(`large-${caller}`, maxBodyBytes, maxBodyBytes - 1),
    );
  }

  const bufferedBytes = async (): Promise<number> => {
    harness.gateway.measure();
    const text = await harness.metrics.text();
    return Number(/gateway_buffered_body_bytes (\d+)/.exec(text)?.[1] ?? NaN);
  };

  async function waitForRelease(): Promise<void> {
    const deadlineAtMs = harness.clock.nowMs() + giveUpMs;
    while ((await bufferedBytes()) > 0 && harness.clock.nowMs() < deadlineAtMs) {
      await harness.wait(20);
    }
    expect(await bufferedBytes()).toBe(0);
  }

  it('are refused as not run beyond a limit, so that they do not fill the memory of the VM', async () => {
    const exchanges = sendAlmostAll();
    const refused = (): { received: string }[] =>
      exchanges.filter(({ received }) => received.startsWith('HTTP/1.1 503'));
    await waitFor(() => refused().length >= manyCallers / 2);
    expect(refused().length).toBeGreaterThanOrEqual(manyCallers / 2);
    expect(refused()[0]!.received).toMatch(/retry-after/i);
    expect(await bufferedBytes()).toBeLessThan(vmBytes / 4);
    expect(harness.arrivals).toBe(0);
  });

  it('leave room for small ones, which are served meanwhile', async () => {
    const exchanges = sendAlmostAll();
    await waitFor(() => exchanges.some(({ received }) => received !== ''));
    const small = await harness.call({ method: 'POST', body: 'x'.repeat(10_000) });
    expect(small).toMatchObject({ status: 200, body: 'done' });
  });

  it('give their memory back when they end, so that the next ones are taken', async () => {
    const exchanges = sendAlmostAll();
    await waitFor(() => exchanges.some(({ received }) => received !== ''));
    for (const socket of sockets.splice(0)) socket.destroy();
    await waitForRelease();
    const large = await harness.call({ method: 'POST', body: 'x'.repeat(maxBodyBytes) });
    expect(large.status).toBe(200);
    await waitForRelease();
  });

  it('do not hold memory beyond their deadline when they stall, so that the next ones are taken', async () => {
    const exchange = send('stalled', maxBodyBytes, maxBodyBytes / 2, 400);
    await waitFor(() => exchange.received !== '');
    expect(exchange.received).toMatch(/^HTTP\/1.1 503/);
    await waitForRelease();
  });

  it('are refused unread when they are announced larger than the limit of one', async () => {
    const exchange = send('huge', maxBodyBytes + 1, 0);
    await waitFor(() => exchange.received !== '');
    expect(exchange.received).toMatch(/^HTTP\/1.1 413/);
  });
});
