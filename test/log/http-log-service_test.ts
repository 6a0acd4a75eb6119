import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, expect, it } from 'vitest';
import { HttpLogService, LogRefusedError } from '../../src/log/index.js';
import { RawEndpoint } from '../raw-endpoint.js';

describe('HttpLogService', () => {
  it('continues at the oldest record after a 410 (else a lagging daemon can never read again)', async () => {
    const asked: string[] = [];
    const server = createServer((request, response) => {
      const from = new URL(request.url!, 'http://log').searchParams.get('from')!;
      asked.push(from);
      response.statusCode = from === '5' ? 200 : 410;
      response.end(JSON.stringify({ records: [], earliestOffset: 5, nextOffset: 5 }));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const log = new HttpLogService({ baseUrl: `http://127.0.0.1:${port}` });
    const page = await log.read('s', 0, { limit: 10, waitMs: 0 });
    expect(page.earliestOffset).toBe(5);
    expect(asked).toEqual(['0', '5']);
    await log.close();
    server.close();
  });

  it('takes a refusal from an answer that ends with its connection (else a record that is too large is sent again)', async () => {
    const server = await new RawEndpoint(({ socket }) => {
      socket.end('HTTP/1.1 413 Content Too Large\r\n\r\n');
    }).listen();
    const log = new HttpLogService({ baseUrl: server.baseUrl });
    await expect(log.append('s', { id: 'a', data: 'x' })).rejects.toThrow(LogRefusedError);
    await log.close();
    server.close();
  });
});
