import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, expect, it } from 'vitest';
import { HttpLogService } from '../../src/log/index.js';

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
});
