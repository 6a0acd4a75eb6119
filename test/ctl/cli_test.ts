import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { beforeEach, describe, expect, it } from 'vitest';
import { WorkKind, WorkState, type WorkItem } from '../../src/admin-api/index.js';
import { exitCodeTexts } from '../../src/ctl/cli.js';
import { allCommands } from '../../src/ctl/commands/index.js';
import { ExitCode } from '../../src/ctl/exit-code.js';
import { BurnRecorder, objectivesOf } from '../../src/report/index.js';
import { parseBearerKey, SigningKey, verifySecret } from '../../src/security/index.js';
import { Deployment, parseSettings } from '../../src/settings/index.js';
import { CtlHarness } from './ctl-harness.js';

const missing = [{ daemon: 'entry-9', reason: 'connection refused' }];

function work(id: string, fence: number, state: WorkState): WorkItem {
  return {
    id,
    kind: WorkKind.Job,
    workspaceId: 'tejidos/tenders',
    serviceId: 'tejidos/sales',
    state,
    workClass: null,
    acceptedAtMs: 1_800_000_000_000,
    deadlineAtMs: null,
    owner: `entry-${fence}`,
    fence,
    recordedTokens: 64,
    note: '',
  };
}

describe('oriolectl', () => {
  let harness: CtlHarness;

  beforeEach(() => {
    harness = new CtlHarness();
  });

  function answer(body: unknown, status = 200): void {
    harness.transport.answer = () => ({ status, body });
  }

  describe('command line', () => {
    it('refuses what it does not know instead of ignoring it', async () => {
      for (const argv of [
        [],
        ['sttus'],
        ['settings'],
        ['status', '--jsno'],
        ['status', 'extra'],
        ['jobs', 'show'],
        ['jobs', 'list', '--state', 'lost'],
        ['jobs', 'list', '--limit', '0'],
        ['status', '--timeout-ms', 'soon'],
        ['jobs', 'resolve', 'c1', '--outcome', 'ran'],
        ['report', 'burn', '--html'],
      ]) {
        const { code, err, out } = await harness.run(...argv);
        expect([argv, code]).toEqual([argv, ExitCode.Usage]);
        expect(err).toContain('oriolectl');
        expect(out).toBe('');
      }
      expect(harness.transport.requests).toEqual([]);
    });

    it('has help with examples and exit codes for each command', async () => {
      for (const { name, examples } of allCommands) {
        const { code, out } = await harness.run(...name.split(' '), '--help');
        expect(code).toBe(ExitCode.Success);
        expect(examples.length).toBeGreaterThan(0);
        for (const example of examples) expect(out).toContain(example);
        expect(out).toContain('EXIT CODES');
      }
      expect((await harness.run('--help')).out).toContain('settings apply');
    });

    it('names the option and the variable that are needed', async () => {
      delete harness.env.ORIOLECTL_ADMIN_URL;
      const { code, err } = await harness.run('status');
      expect(code).toBe(ExitCode.Usage);
      expect(err).toContain('ORIOLECTL_ADMIN_URL');
    });
  });

  describe('docs/operators/oriolectl.md', () => {
    const page = readFileSync(
      join(import.meta.dirname, '..', '..', 'docs', 'operators', 'oriolectl.md'),
      'utf8',
    );

    it('describes every command with its examples', () => {
      for (const { name, examples } of allCommands) {
        expect(page).toContain(`## ${name}\n`);
        for (const example of examples) expect(page).toContain(example);
      }
    });

    it('describes every exit code in the same words', () => {
      for (const [code, text] of Object.entries(exitCodeTexts)) {
        expect(page).toMatch(new RegExp(`\\| ${code} +\\| ${text}`, 'i'));
      }
    });
  });

  describe('answers of the daemons', () => {
    it('shows each daemon, names missing ones and ends with 8', async () => {
      answer({
        answers: [
          {
            daemon: 'entry-1',
            answer: {
              version: '0.1.0',
              region: 'litoral',
              failureDomain: 'litoral-rosario',
              ready: true,
              stopping: false,
              startedAtMs: 1_799_999_940_000,
              settingsRevision: 1_025,
              settingsCaughtUpAtMs: 1_800_000_000_000,
              logReachable: true,
              liveMembers: 6,
              suspectMembers: 1,
              inFlightRequests: 12,
              queuedRequests: 0,
            },
          },
        ],
        missing,
      });
      const { code, out, err } = await harness.run('status');
      expect(code).toBe(ExitCode.Partial);
      expect(out).toMatch(/entry-1 .* ready .* 1025 .* 6\/1 .* 12 /);
      expect(err).toContain('entry-9');
      const json: unknown = JSON.parse((await harness.run('status', '--json')).out);
      expect(json).toMatchObject({ answers: [{ daemon: 'entry-1' }], missing });
    });

    it('gives each refusal its exit code and shows what to do', async () => {
      const refusal = { error: { code: 'x', message: 'what happened', next: 'what to do' } };
      for (const [status, expected] of [
        [400, ExitCode.Usage],
        [401, ExitCode.Denied],
        [403, ExitCode.Denied],
        [404, ExitCode.NotFound],
        [500, ExitCode.Failed],
        [502, ExitCode.OutcomeUnknown],
        [503, ExitCode.Unreachable],
      ] as const) {
        answer(refusal, status);
        const { code, err } = await harness.run('endpoints');
        expect([status, code]).toEqual([status, expected]);
        expect(err).toContain('what to do');
      }
      answer({ no: 'answers' });
      expect((await harness.run('endpoints')).code).toBe(ExitCode.Failed);
    });

    it('shows a job once, as the daemon with the highest fence has it', async () => {
      answer({
        answers: [
          { daemon: 'entry-1', answer: [work('j1', 1, WorkState.Running)] },
          { daemon: 'entry-2', answer: [work('j1', 2, WorkState.Done)] },
        ],
        missing: [],
      });
      const { code, out } = await harness.run(
        ...['jobs', 'list', '--state', 'done', '--workspace', 'tejidos/tenders', '--json'],
      );
      expect(code).toBe(ExitCode.Success);
      expect(JSON.parse(out)).toMatchObject({ items: [{ id: 'j1', owner: 'entry-2' }] });
      expect(harness.transport.requests[0]?.path).toBe(
        'jobs?state=done&workspace=tejidos%2Ftenders&limit=200',
      );
    });

    it('tells "not found" from "a daemon that may know it is missing"', async () => {
      answer({ answers: [{ daemon: 'entry-1', answer: [] }], missing: [] });
      expect((await harness.run('jobs', 'show', 'j1')).code).toBe(ExitCode.NotFound);
      answer({ answers: [{ daemon: 'entry-1', answer: [] }], missing });
      expect((await harness.run('jobs', 'show', 'j1')).code).toBe(ExitCode.Partial);
      answer({ answers: [{ daemon: 'entry-1', answer: null }], missing: [] });
      expect((await harness.run('explain', 'r1')).code).toBe(ExitCode.NotFound);
    });

    it('sends resolutions, cancellations and drains as they were asked for', async () => {
      answer(work('c/1', 3, WorkState.ResolvedNotRun));
      await harness.run('jobs', 'resolve', 'c/1', '--outcome', 'not_run', '--note', 'no truck');
      await harness.run('jobs', 'cancel', 'j1', '--note', 'asked for');
      const path = 'prod/tejidos/endpoints/w1';
      answer({
        answers: [{ daemon: 'entry-1', answer: { path, ids: ['w1#2'], inFlightRequests: 1 } }],
        missing: [],
      });
      expect((await harness.run('drain', path, '--within-s', '30')).code).toBe(ExitCode.Success);
      const [resolve, cancel, drain] = harness.transport.requests;
      expect(resolve).toEqual({
        method: 'POST',
        path: 'jobs/c%2F1/resolve',
        body: { ran: false, note: 'no truck' },
      });
      expect(cancel).toMatchObject({ path: 'jobs/j1/cancel', body: { note: 'asked for' } });
      expect(drain).toMatchObject({ method: 'POST', path: 'drain', body: { path } });
    });
  });

  describe('report burn', () => {
    it('merges the daemons, names missing ones, writes the page and can fail on an alert', async () => {
      const recorder = new BurnRecorder({
        clock: harness.clock,
        objectives: (id) => objectivesOf(new Deployment(), id),
      });
      const series = recorder.series('tejidos/tenders', 'tejidos/sales');
      for (let count = 0; count < 10; count++) series.recordRefusal();
      const snapshot: unknown = JSON.parse(JSON.stringify(await recorder.snapshot()));
      answer({
        answers: [
          { daemon: 'entry-1', answer: snapshot },
          { daemon: 'entry-2', answer: snapshot },
        ],
        missing,
      });
      const burn = ['report', 'burn', '--html', 'burn.html'];
      const { code, out } = await harness.run(...burn);
      expect(code).toBe(ExitCode.Partial);
      expect(out).toContain('Covers 2 of 3 daemons; missing: entry-9');
      expect(harness.files.get('burn.html')).toContain('entry-9');
      const failing = await harness.run(...burn, '--fail-on-alert', '--json');
      expect(failing.code).toBe(ExitCode.Finding);
      expect(JSON.parse(failing.out)).toMatchObject({
        rows: [{ alert: 'fast', counts: { fastShort: { total: 20, bad: 20 } } }],
        missing,
      });
    });
  });

  describe('keys create', () => {
    it("makes an operator's key whose secret matches both its hash and its public key", async () => {
      const { out } = await harness.run(
        ...['keys', 'create', 'prod/tejidos/ops', '--kind', 'operator'],
        ...['--scope', 'prod/tejidos', '--out', 'ops.key'],
      );
      const values = parseSettings(out, 'out').get('prod/tejidos/keys/ops');
      const key = parseBearerKey((harness.files.get('ops.key') ?? '').trim());
      expect(harness.secretFiles.has('ops.key')).toBe(true);
      expect(key?.keyId).toBe('tejidos/ops');
      expect(out).not.toContain(key?.secret);
      expect(await verifySecret(key?.secret ?? '', values?.secret_hash ?? '')).toBe(true);
      expect(SigningKey.fromSecret(key?.secret ?? '').publicKey).toBe(values?.signing_public_key);
    });

    it('refuses a key that could do nothing or whose name is not a path', async () => {
      const create = async (...argv: string[]): Promise<ExitCode> =>
        (await harness.run('keys', 'create', ...argv, '--out', 'x.key')).code;
      expect(await create('prod/tejidos/a', '--kind', 'caller')).toBe(ExitCode.Usage);
      expect(await create('prod/tejidos/a', '--kind', 'operator')).toBe(ExitCode.Usage);
      expect(await create('tejidos/a', '--kind', 'caller', '--workspace', 'w')).toBe(
        ExitCode.Usage,
      );
      expect(await create('prod/x/y', '--kind', 'root')).toBe(ExitCode.Usage);
      expect(harness.files.size).toBe(0);
    });
  });
});
