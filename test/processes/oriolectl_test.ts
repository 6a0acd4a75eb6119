import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { z } from 'zod';
import { ProcessCluster, until } from './process-cluster.js';

const gathered = z.object({
  answers: z.array(z.object({ daemon: z.string() })),
  missing: z.array(z.object({ daemon: z.string(), reason: z.string() })),
});
const report = z.object({
  daemons: z.array(z.string()),
  missing: z.array(z.object({ daemon: z.string() })),
  rows: z.array(
    z.object({
      objective: z.string(),
      serviceId: z.string(),
      counts: z.object({ fastShort: z.object({ total: z.number() }) }),
    }),
  ),
});
const names = ['entry-1', 'entry-2', 'entry-3'];

describe('oriolectl against running daemons', { timeout: 60_000 }, () => {
  let cluster: ProcessCluster;

  beforeAll(async () => {
    cluster = new ProcessCluster();
    await cluster.start();
  });

  afterAll(async () => {
    await cluster.close();
  });

  async function json<T>(schema: z.ZodType<T>, ...args: string[]): Promise<T> {
    const { code, out, err } = await cluster.ctl(...args, '--json');
    if (code !== 0) throw new Error(`oriolectl ${args.join(' ')} ended with ${code}: ${err}`);
    return schema.parse(JSON.parse(out));
  }

  it('applies a change, waits until it is in force everywhere and reads it back', async () => {
    const path = 'prod/tejidos/limits/tenders';
    const file = await cluster.file('limits.ini', `[${path}]\nrate_per_s = 500\n`);
    const applied = await json(
      z.object({ inForce: z.array(z.string()), notInForce: z.array(z.string()) }),
      'settings',
      'apply',
      file,
    );
    expect(applied).toEqual({ inForce: names, notInForce: [] });
    expect((await cluster.ctl('settings', 'get', path)).out).toContain('rate_per_s = 500');
    const { out, code } = await cluster.ctl('settings', 'in-force', path);
    expect(code).toBe(0);
    expect(out).toContain('entry-1, entry-2, entry-3');
    // A path names whole parts: prod/tejidos must not show prod/tejidos-b.
    const part = await cluster.ctl('settings', 'in-force', path.slice(0, -1));
    expect(part.out).not.toContain('rate_per_s');
    // A file edited from an older revision must not overwrite the change.
    expect((await cluster.ctl('settings', 'apply', file)).code).toBe(0);
    const stale = await cluster.file('stale.ini', `[${path}]\nrate_per_s = 7\n`);
    expect((await cluster.ctl('settings', 'apply', stale)).code).toBe(4);
  });

  it('shows daemons, endpoints, jobs, explanations and burn rates of the work done', async () => {
    const chat = await cluster.post(0, '/v1/chat/completions', {
      model: 'fence-1',
      messages: [{ role: 'user', content: 'Rolls for 50 m? tokens=20' }],
    });
    const requestId = chat.headers.get('x-request-id') ?? '';
    await chat.text();
    const jobId = await cluster.acceptJob(1, 'Quote for 80 m. tokens=20');
    await cluster.readJob(2, jobId);
    await (await cluster.fetch(1, '/services/orders/stock')).text();

    const status = await json(gathered, 'status');
    expect(status.answers.map(({ daemon }) => daemon)).toEqual(names);
    const endpoints = await cluster.ctl('endpoints');
    expect(endpoints.out).toContain('prod/tejidos/endpoints/orders-1');
    const part = await cluster.ctl('endpoints', 'prod/tejidos/endpoints/orders');
    expect(part.out).not.toContain('orders-1');
    expect((await cluster.ctl('jobs', 'show', jobId)).out).toContain('done');
    expect((await cluster.ctl('jobs', 'list')).out).toContain(jobId);
    const explained = await cluster.ctl('explain', requestId);
    expect(explained.code).toBe(0);
    expect(explained.out).toContain('assistant-');
    const { daemons, rows } = await json(report, 'report', 'burn');
    expect(daemons).toEqual(names);
    const totalOf = (serviceId: string, objective: string): number | undefined =>
      rows.find((row) => row.serviceId === serviceId && row.objective === objective)?.counts
        .fastShort.total;
    // One chat and one job; every gap of the chat's 20 tokens; one plain call.
    expect(totalOf('tejidos/sales-assistant', 'completion')).toBe(2);
    expect(totalOf('tejidos/sales-assistant', 'between_tokens')).toBe(19);
    expect(totalOf('tejidos/orders', 'completion')).toBe(1);
  });

  it('keeps the operator and the note of a cancelled job', async () => {
    const jobId = await cluster.acceptJob(0, 'Quote that nobody needs. tokens=100000');
    const cancelled = await cluster.ctl('jobs', 'cancel', jobId, '--note', 'tender withdrawn');
    expect(cancelled.code).toBe(0);
    expect(cluster.entries('jobs', 'job_cancelled')).toMatchObject([
      { jobId, note: 'tender withdrawn', operator: 'tejidos/ops' },
    ]);
    expect((await cluster.ctl('jobs', 'show', jobId)).out).toContain('tender withdrawn');
  });

  it('drains an endpoint on every daemon', async () => {
    const path = 'prod/tejidos/endpoints/assistant-2';
    expect((await cluster.ctl('drain', path)).code).toBe(0);
    const states = z.object({
      answers: z.array(z.object({ answer: z.array(z.object({ state: z.string() })) })),
    });
    const { answers } = await json(states, 'endpoints', path);
    expect(answers.map(({ answer }) => answer[0]?.state)).toEqual([
      'leaving',
      'leaving',
      'leaving',
    ]);
  });

  it('names a daemon that was lost, so that its settings and counts are not taken as gone', async () => {
    await cluster.daemon(2).kill();
    await until(async () => {
      const { out } = await cluster.ctl('settings', 'in-force', '--json');
      const [missing] = gathered.parse(JSON.parse(out)).missing;
      return missing?.daemon === 'entry-3' && missing.reason.startsWith('lost at');
    });
    const burn = await cluster.ctl('report', 'burn', '--json');
    expect(burn.code).toBe(8);
    expect(report.parse(JSON.parse(burn.out)).missing).toMatchObject([{ daemon: 'entry-3' }]);
  });
});
