import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { wholeAnswer } from '../../src/standins/index.js';
import { EventId } from '../../src/telemetry/index.js';
import { messagesOf, ProcessCluster } from './process-cluster.js';

/** Module that throws and rejects where nothing handles it, when the process is told to. */
const failingModule = `data:text/javascript,${encodeURIComponent(`
  process.once('SIGUSR2', () => {
    setTimeout(() => { throw new TypeError('thrown in a timer'); }, 0);
    setTimeout(() => { void Promise.reject(new TypeError('rejected')); }, 100);
  });
`)}`;

describe('an error that no code of a daemon handles', { timeout: 60_000 }, () => {
  let cluster: ProcessCluster;

  beforeEach(async () => {
    cluster = new ProcessCluster();
    cluster.nodeOptions = ['--import', failingModule];
    await cluster.start();
  });

  afterEach(async () => {
    await cluster.close();
  });

  it('does not end the process, which holds the requests of all its callers', async () => {
    const daemon = cluster.daemon(0);
    daemon.signal('SIGUSR2');
    expect(await daemon.event(EventId.UnexpectedError)).toMatchObject({
      reason: 'thrown in a timer',
    });
    await new Promise((resolve) => setTimeout(resolve, 500));
    const prompt = 'Tender for 1 km of fence. tokens=20';
    const { text } = await cluster.chat(0, prompt);
    expect(text).toBe(wholeAnswer(messagesOf(prompt)));
  });
});
