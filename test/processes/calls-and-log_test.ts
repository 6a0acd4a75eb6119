import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { z } from 'zod';
import { wholeAnswer } from '../../src/standins/index.js';
import { messagesOf, ProcessCluster, until } from './process-cluster.js';

const inForceSchema = z.object({
  answers: z.array(
    z.object({ answer: z.object({ revision: z.number(), caughtUpAtMs: z.number() }) }),
  ),
});

describe('non-repeatable calls and the log service', { timeout: 60_000 }, () => {
  let cluster: ProcessCluster;

  beforeEach(async () => {
    cluster = new ProcessCluster();
    await cluster.start();
  });

  afterEach(async () => {
    await cluster.close();
  });

  const confirm = (daemon: number, key: string): Promise<Response> =>
    cluster.post(
      daemon,
      '/services/orders/confirmations',
      { rolls: 12 },
      { 'idempotency-key': key },
    );

  it('never runs a call twice whose daemon was killed before the answer', async () => {
    const key = 'order-1';
    cluster.plain.callMs = 60_000;
    const first = confirm(0, key).then(
      ({ status }) => status,
      () => undefined,
    );
    await until(() => cluster.plain.executions.get(key));
    const claim = cluster.entries('claims', 'claim')[0];
    const owner = cluster.daemons.findIndex(({ name }) => name === claim?.daemon);
    await cluster.daemon(owner).kill();
    await first;
    cluster.plain.callMs = 5;
    const survivor = (owner + 1) % 3;
    const repeat = await until(async () => {
      const response = await confirm(survivor, key);
      const { error } = z
        .object({ error: z.object({ code: z.string() }) })
        .parse(await response.json());
      return error.code === 'in_progress' ? undefined : { response, code: error.code };
    });
    expect(repeat.code).toBe('outcome_unknown');
    expect(repeat.response.headers.get('oriolestack-outcome')).toBe('unknown');

    cluster.useAdminOf(survivor);
    const id = String(claim?.claimId);
    const note = 'truck 14 never left';
    const resolved = await cluster.ctl(
      'jobs',
      'resolve',
      id,
      '--outcome',
      'not_run',
      '--note',
      note,
      '--json',
    );
    expect(resolved.err).toBe('');
    expect(resolved.code).toBe(0);
    expect(cluster.plain.executions.get(key)).toBe(1);
    // Only the operator's word lets the key run again.
    expect((await confirm(survivor, key)).status).toBe(200);
    expect((await confirm(survivor, key)).headers.get('oriolestack-replayed')).toBe('true');
    expect(cluster.plain.executions.get(key)).toBe(2);
  });

  it('keeps serving with the settings in force while the log is down, and recovers', async () => {
    const inForce = async (): Promise<z.output<typeof inForceSchema>['answers']> =>
      inForceSchema.parse(JSON.parse((await cluster.ctl('settings', 'in-force', '--json')).out))
        .answers;
    const before = await inForce();
    const logPort = Number(new URL(cluster.log.baseUrl).port);
    await cluster.log.close();
    const refused = await confirm(0, 'order-2');
    expect(refused.status).toBe(503);
    expect(refused.headers.get('oriolestack-outcome')).toBe('not_run');
    const prompt = 'How many rolls cover 120 m of fence?';
    const { text } = await cluster.chat(1, prompt);
    expect(text).toBe(wholeAnswer(messagesOf(prompt)));
    // The age is shown: the time of the last whole read stands still on every daemon.
    const aged = await until(async () => {
      const earlier = await inForce();
      const later = await inForce();
      const isStill = later.every(
        ({ answer }, index) => answer.caughtUpAtMs === earlier[index]?.answer.caughtUpAtMs,
      );
      return isStill ? later : undefined;
    });
    expect(aged.map(({ answer }) => answer.revision)).toEqual(
      before.map(({ answer }) => answer.revision),
    );
    expect(cluster.plain.executions.get('order-2')).toBeUndefined();
    const { out: status } = await cluster.ctl('status', '--json');
    expect(status).toMatch(/"logReachable":\s*false/);

    await cluster.log.listen(logPort);
    const recovered = await until(async () => {
      const response = await confirm(0, 'order-2');
      return response.status === 200 ? response : undefined;
    });
    expect(recovered.status).toBe(200);
    expect(cluster.plain.executions.get('order-2')).toBe(1);
  });
});
