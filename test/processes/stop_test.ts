import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { wholeAnswer } from '../../src/standins/index.js';
import { EventId } from '../../src/telemetry/index.js';
import { messagesOf, ProcessCluster } from './process-cluster.js';

describe('stopping daemons', { timeout: 60_000 }, () => {
  let cluster: ProcessCluster;

  beforeEach(async () => {
    cluster = new ProcessCluster();
    await cluster.start();
  });

  afterEach(async () => {
    await cluster.close();
  });

  /** Opens a stream; `shown` resolves with its first text. */
  function openStream(daemon: number, prompt: string) {
    let show: () => void = () => undefined;
    const shown = new Promise<void>((resolve) => {
      show = resolve;
    });
    return { shown, answer: cluster.chat(daemon, prompt, show) };
  }

  it('cuts no stream when two of three stop together while the log is down', async () => {
    const prompts = [0, 1, 2].map((index) => `Counter question ${index}. tokens=250`);
    const streams = prompts.map((prompt, index) => openStream(index, prompt));
    await Promise.all(streams.map(({ shown }) => shown));
    cluster.log.isDown = true;
    cluster.daemon(0).signal('SIGTERM');
    cluster.daemon(1).signal('SIGTERM');
    const answers = await Promise.all(streams.map(({ answer }) => answer));
    expect(answers.map(({ text }) => text)).toEqual(
      prompts.map((prompt) => wholeAnswer(messagesOf(prompt))),
    );
    expect(answers.every(({ isComplete }) => isComplete)).toBe(true);
    const ends = await Promise.all([cluster.daemon(0).ended, cluster.daemon(1).ended]);
    expect(ends).toEqual([
      { code: 0, signal: null },
      { code: 0, signal: null },
    ]);
  });

  it('names the requests that a second SIGTERM cuts off', async () => {
    const { shown, answer } = openStream(0, 'Summary of delivery notes. tokens=100000');
    answer.catch(() => undefined);
    await shown;
    const [engine] = cluster.engines.filter(({ startedRequests }) => startedRequests.length > 0);
    const requestId = engine?.startedRequests[0]?.replace(/:\d+$/, '');
    const daemon = cluster.daemon(0);
    daemon.signal('SIGTERM');
    await daemon.event(EventId.DaemonStopping);
    daemon.signal('SIGTERM');
    const { code } = await daemon.ended;
    expect(code).toBe(1);
    const forced = await daemon.event(EventId.StopForced);
    expect(forced.requestIds).toBe(requestId);
  });
});
