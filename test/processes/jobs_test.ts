import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { wholeAnswer } from '../../src/standins/index.js';
import { EventId } from '../../src/telemetry/index.js';
import type { DaemonProcess } from './daemon-process.js';
import { messagesOf, ProcessCluster, until } from './process-cluster.js';

const prompt = 'Tender for 3 km of fence. tokens=400';

describe('a job whose daemon fails in its middle', { timeout: 60_000 }, () => {
  let cluster: ProcessCluster;

  beforeEach(async () => {
    cluster = new ProcessCluster();
    await cluster.start();
  });

  afterEach(async () => {
    await cluster.close();
  });

  /** Waits until part of the text is recorded; returns the owner's index. */
  async function ownerInMiddle(jobId: string): Promise<number> {
    await until(() => cluster.entries('jobs', 'job_progress').some((one) => one.jobId === jobId));
    const lease = cluster.entries('jobs', 'job_lease').find((one) => one.jobId === jobId);
    return cluster.daemons.findIndex(({ name }) => name === lease?.daemon);
  }

  it('ends whole after SIGKILL of the owner, so that an accepted quote is not lost', async () => {
    const jobId = await cluster.acceptJob(0, prompt);
    const owner = await ownerInMiddle(jobId);
    await cluster.daemon(owner).kill();
    const { text, isComplete } = await cluster.readJob((owner + 1) % 3, jobId);
    expect(text).toBe(wholeAnswer(messagesOf(prompt)));
    expect(isComplete).toBe(true);
  });

  it('ignores the stale progress of an owner paused beyond its lease', async () => {
    const jobId = await cluster.acceptJob(0, prompt);
    const owner = await ownerInMiddle(jobId);
    const paused: DaemonProcess = cluster.daemon(owner);
    paused.signal('SIGSTOP');
    const others = [(owner + 1) % 3, (owner + 2) % 3];
    await Promise.race(others.map((index) => cluster.daemon(index).event(EventId.JobTakenOver)));
    paused.signal('SIGCONT');
    // The owner notices that its fence is old.
    await paused.event(EventId.JobLeaseLost);
    const answers = await Promise.all(
      [owner, ...others].map((index) => cluster.readJob(index, jobId)),
    );
    for (const { text, isComplete } of answers) {
      expect(text).toBe(wholeAnswer(messagesOf(prompt)));
      expect(isComplete).toBe(true);
    }
  });
});
