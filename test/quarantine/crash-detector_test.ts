import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { beforeEach, describe, expect, it } from 'vitest';
import { SystemClock, VirtualClock } from '../../src/core/index.js';
import {
  CrashDetector,
  ListenCheck,
  TcpListenCheck,
  type BrokenRequest,
} from '../../src/quarantine/crash-detector.js';
import type { CrashReport } from '../../src/quarantine/crash-report.js';

class FixedCheck extends ListenCheck {
  isUp = false;
  asked = 0;

  override isListening(): Promise<boolean> {
    this.asked += 1;
    return Promise.resolve(this.isUp);
  }
}

describe('CrashDetector', () => {
  let clock: VirtualClock;
  let check: FixedCheck;
  let detector: CrashDetector;
  let reports: CrashReport[];

  beforeEach(() => {
    clock = new VirtualClock(1_000_000);
    check = new FixedCheck();
    reports = [];
    detector = new CrashDetector({
      check,
      clock,
      onCrash: (_, found) => {
        reports.push(...found);
      },
    });
  });

  function broken(requestId: string, changes: Partial<BrokenRequest> = {}): BrokenRequest {
    return {
      endpointId: 'i-1',
      baseUrl: 'http://127.0.0.1:1',
      requestId,
      partIds: ['part'],
      sentAtMs: clock.nowMs() - 100,
      firstEventAtMs: undefined,
      lastEventAtMs: undefined,
      ...changes,
    };
  }

  it('takes no lost connection for an end, as links reset the connections of sound endpoints', async () => {
    check.isUp = true;
    expect(await detector.diagnose(broken('r'))).toBe(false);
    expect(reports).toEqual([]);
  });

  it('reports all requests of an endpoint that refuses connections, and asks it once', async () => {
    const ended = await Promise.all(['a', 'b', 'c'].map((id) => detector.diagnose(broken(id))));
    expect(ended).toEqual([true, true, true]);
    expect(reports.map(({ requestId }) => requestId)).toEqual(['a', 'b', 'c']);
    expect(check.asked).toBe(1);
  });

  it('blames no request that was being answered for a while', async () => {
    const lastEventAtMs = clock.nowMs();
    const firstEventAtMs = lastEventAtMs - 1_500;
    const long = broken('long', { firstEventAtMs, lastEventAtMs });
    expect(await detector.diagnose(long)).toBe(false);
    expect(reports).toEqual([]);
  });

  it('blames one whose first event was its last, however late the end is noticed', async () => {
    const atMs = clock.nowMs() - 3_000;
    const short = broken('short', { firstEventAtMs: atMs, lastEventAtMs: atMs });
    expect(await detector.diagnose(short)).toBe(true);
  });

  it('reports a request that broke just before the port of the ending process was closed', async () => {
    check.isUp = true;
    expect(await detector.diagnose(broken('first'))).toBe(false);
    check.isUp = false;
    await clock.advance(400);
    expect(reports.map(({ requestId, crashedAtMs }) => [requestId, crashedAtMs])).toEqual([
      ['first', 1_000_000],
    ]);
  });

  it('reports it also when another request is refused first', async () => {
    check.isUp = true;
    await detector.diagnose(broken('first'));
    await clock.advance(100);
    detector.refused('i-1');
    expect(reports.map(({ requestId }) => requestId)).toEqual(['first']);
  });

  it('asks an endpoint that breaks many answers and listens only now and then', async () => {
    check.isUp = true;
    for (let at = 0; at < 100; at++) {
      await detector.diagnose(broken(`r${at}`));
      await clock.advance(10);
    }
    expect(check.asked).toBeLessThanOrEqual(3);
  });

  it('counts a process that starts again so soon that connections are never refused', async () => {
    check.isUp = true;
    await detector.diagnose(broken('r'));
    await clock.advance(2_000);
    detector.confirm('i-1');
    expect(reports.map(({ requestId, crashedAtMs }) => [requestId, crashedAtMs])).toEqual([
      ['r', 1_000_000],
    ]);
  });

  it('takes a process that responds under the same identity for one that has started again', async () => {
    await detector.diagnose(broken('r'));
    check.isUp = true;
    expect(await detector.hasCrashed(broken('r'))).toBe(true);
    detector.responded('i-1');
    expect(await detector.hasCrashed(broken('r'))).toBe(false);
  });

  it('holds no requests against an end that broke while the endpoint went on', async () => {
    check.isUp = true;
    await detector.diagnose(broken('garbled'));
    await clock.advance(1_000);
    check.isUp = false;
    await detector.diagnose(broken('crashed'));
    expect(reports.map(({ requestId }) => requestId)).toEqual(['crashed']);
  });

  it('holds no requests against an end that broke before the endpoint last responded', async () => {
    check.isUp = true;
    await detector.diagnose(broken('garbled'));
    await clock.advance(1_000);
    detector.responded('i-1');
    detector.confirm('i-1');
    expect(reports).toEqual([]);
  });

  it('holds no requests against an end that came long after', async () => {
    check.isUp = true;
    await detector.diagnose(broken('r'));
    await clock.advance(11_000);
    detector.confirm('i-1');
    expect(reports).toEqual([]);
  });
});

describe('TcpListenCheck', () => {
  it('tells a refused connection from an accepted one', async () => {
    const clock = new SystemClock();
    const tcp = new TcpListenCheck(clock);
    const server = createServer((socket) => socket.on('error', () => undefined));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    expect(await tcp.isListening(url, clock.nowMs() + 1_000)).toBe(true);
    await new Promise((resolve) => server.close(resolve));
    expect(await tcp.isListening(url, clock.nowMs() + 1_000)).toBe(false);
  });
});
