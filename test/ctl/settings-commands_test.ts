import { beforeEach, describe, expect, it } from 'vitest';
import { ExitCode } from '../../src/ctl/exit-code.js';
import { LogFault, LogFaultSource } from '../../src/standins/index.js';
import { CtlHarness } from './ctl-harness.js';

const limits = 'prod/tejidos/limits/tenders';
const firstText = `[${limits}]\nrate_per_s = 5\n`;

/** Daemons that have everything in force, except those named with an old revision. */
function daemonsInForce(
  harness: CtlHarness,
  daemons: Record<string, () => number>,
  missing: string[] = [],
): void {
  harness.transport.answer = (path) => {
    expect(path).toMatch(/^settings\?/);
    return {
      status: 200,
      body: {
        answers: Object.entries(daemons).map(([daemon, revision]) => ({
          daemon,
          answer: { revision: revision(), nextOffset: 0, caughtUpAtMs: 0, sections: [] },
        })),
        missing: missing.map((daemon) => ({ daemon, reason: 'connection refused' })),
      },
    };
  };
}

describe('settings commands', () => {
  let harness: CtlHarness;

  beforeEach(() => {
    harness = new CtlHarness();
    harness.files.set('first.ini', firstText);
    daemonsInForce(harness, { 'entry-1': () => Number.MAX_SAFE_INTEGER });
  });

  async function applyFirst(): Promise<void> {
    const { code, err } = await harness.run('settings', 'apply', 'first.ini');
    expect(err).toContain('accepted');
    expect(code).toBe(ExitCode.Success);
  }

  async function getText(): Promise<string> {
    return (await harness.run('settings', 'get', 'prod/tejidos')).out;
  }

  describe('check', () => {
    it('names file, line and allowed values, and ends with 3', async () => {
      harness.files.set('bad.ini', `[${limits}]\n\nrate_per_s = fast\n`);
      const { code, out } = await harness.run('settings', 'check', 'first.ini', 'bad.ini');
      expect(code).toBe(ExitCode.InvalidSettings);
      expect(out).toMatch(/bad\.ini:3: error: .*rate_per_s/);
    });

    it('lets references lead to settings in force when asked to', async () => {
      harness.files.set('service.ini', '[prod/tejidos/services/sales]\nkind = engine\n');
      harness.files.set('space.ini', '[prod/tejidos/workspaces/tenders]\nservices = sales\n');
      await harness.run('settings', 'apply', 'service.ini');
      const offline = await harness.run('settings', 'check', 'space.ini');
      expect(offline.code).toBe(ExitCode.Success);
      expect(offline.out).toContain('warning');
      const online = await harness.run('settings', 'check', 'space.ini', '--in-force');
      expect(online.out).not.toContain('warning');
    });
  });

  describe('get, edit, apply', () => {
    it('publishes an edit of the revision it was made from, and nothing when nothing changed', async () => {
      await applyFirst();
      const text = await getText();
      expect(text).toMatch(
        /^\[prod\/tejidos\/limits\/tenders\]\n; revision = \d+\nrate_per_s = 5\n/,
      );
      harness.files.set('edited.ini', text.replace('= 5', '= 6'));
      expect((await harness.run('settings', 'diff', 'edited.ini')).out).toContain('5 -> 6');
      expect((await harness.run('settings', 'apply', 'edited.ini')).code).toBe(ExitCode.Success);
      expect(await getText()).toContain('rate_per_s = 6');
      const records = harness.log.recordsOf('prod.config').length;
      const again = await harness.run('settings', 'apply', 'edited.ini');
      expect(again.code).toBe(ExitCode.Success);
      expect(again.err).toContain('nothing to change');
      expect(harness.log.recordsOf('prod.config')).toHaveLength(records);
    });

    it('shows both values of a conflict and changes nothing', async () => {
      await applyFirst();
      const text = await getText();
      harness.files.set('mine.ini', text.replace('= 5', '= 6'));
      harness.files.set('theirs.ini', text.replace('= 5', '= 7'));
      await harness.run('settings', 'apply', 'theirs.ini');
      const { code, err } = await harness.run('settings', 'apply', 'mine.ini');
      expect(code).toBe(ExitCode.Conflict);
      expect(err).toMatch(/rate_per_s\s+│\s+6\s+│\s+7/);
      expect(await getText()).toContain('rate_per_s = 7');
    });

    it('takes a file without revisions as new sections only', async () => {
      await applyFirst();
      harness.files.set('blind.ini', `[${limits}]\nrate_per_s = 9\n`);
      expect((await harness.run('settings', 'apply', 'blind.ini')).code).toBe(ExitCode.Conflict);
      expect(await getText()).toContain('rate_per_s = 5');
    });

    it('removes a section only by its revision', async () => {
      await applyFirst();
      harness.files.set('empty.ini', '');
      const remove = (item: string): ReturnType<CtlHarness['run']> =>
        harness.run('settings', 'apply', 'empty.ini', '--remove', item);
      expect((await remove(limits)).code).toBe(ExitCode.Usage);
      expect((await remove(`${limits}@1`)).code).toBe(ExitCode.Success);
      expect((await harness.run('settings', 'get', 'prod')).code).toBe(ExitCode.NotFound);
      const { out } = await harness.run('settings', 'history', limits);
      expect(out).toMatch(/revision \d+ .* by root/);
      expect(out).toContain(`- [${limits}]`);
      expect(out).toContain(`+ [${limits}]`);
    });

    it('sends nothing when the file is not valid', async () => {
      harness.files.set('bad.ini', `[${limits}]\nrate_per_s = fast\n`);
      const { code, err } = await harness.run('settings', 'apply', 'bad.ini');
      expect(code).toBe(ExitCode.InvalidSettings);
      expect(err).toContain('bad.ini:2');
      expect(harness.log.recordsOf('prod.config')).toHaveLength(0);
    });

    it("refuses another team's subtree", async () => {
      const created = await harness.run(
        ...['keys', 'create', 'prod/tejidos/ops', '--kind', 'operator'],
        ...['--scope', 'prod/tejidos', '--out', 'ops.key'],
      );
      harness.files.set('ops.ini', created.out);
      expect((await harness.run('settings', 'apply', 'ops.ini')).code).toBe(ExitCode.Success);
      const asOps = ['--key-file', 'ops.key'];
      expect((await harness.run('settings', 'apply', 'first.ini', ...asOps)).code).toBe(
        ExitCode.Success,
      );
      harness.files.set('other.ini', '[prod/haneul/limits/planner]\nrate_per_s = 1\n');
      const { code, err } = await harness.run('settings', 'apply', 'other.ini', ...asOps);
      expect(code).toBe(ExitCode.Denied);
      expect(err).toContain('prod/haneul');
    });
  });

  describe('waiting until the change is in force', () => {
    it('waits for a slow daemon and shows progress on standard error', async () => {
      const readyAtMs = harness.clock.nowMs() + 3_000;
      daemonsInForce(harness, {
        'entry-1': () => Number.MAX_SAFE_INTEGER,
        'entry-2': () => (harness.clock.nowMs() > readyAtMs ? Number.MAX_SAFE_INTEGER : 0),
      });
      const { code, err, out } = await harness.run('settings', 'apply', 'first.ini');
      expect(code).toBe(ExitCode.Success);
      expect(err).toContain('waiting until the change is in force');
      expect(out).not.toContain('waiting');
      expect(harness.clock.nowMs()).toBeGreaterThan(readyAtMs);
    });

    it('names daemons that are behind or missing after the time is over', async () => {
      daemonsInForce(harness, { 'entry-1': () => 0 }, ['entry-3']);
      const { code, err, out } = await harness.run(
        ...['settings', 'apply', 'first.ini', '--timeout-ms', '2000', '--json'],
      );
      expect(code).toBe(ExitCode.Partial);
      expect(err).toContain('not in force on entry-1');
      expect(JSON.parse(out)).toMatchObject({
        verdict: { isAccepted: true },
        paths: [limits],
        notInForce: ['entry-1', 'entry-3'],
      });
    });

    it('needs no daemon with --no-wait', async () => {
      harness.transport.answer = () => {
        throw new Error('no daemon may be asked');
      };
      const { code } = await harness.run('settings', 'apply', 'first.ini', '--no-wait');
      expect(code).toBe(ExitCode.Success);
    });
  });

  describe('a failing log service', () => {
    class Faults extends LogFaultSource {
      constructor(
        readonly append: LogFault,
        readonly read: LogFault,
      ) {
        super();
      }

      override onAppend(): { fault: LogFault; delayMs: number } {
        return { fault: this.append, delayMs: 0 };
      }

      override onRead(): { fault: LogFault; delayMs: number } {
        return { fault: this.read, delayMs: 0 };
      }
    }

    const apply = ['settings', 'apply', 'first.ini', '--timeout-ms', '3000'];

    it('ends with 7 when the settings cannot be read, as nothing was sent', async () => {
      harness.log.faults = new Faults(LogFault.None, LogFault.RequestLost);
      expect((await harness.run(...apply)).code).toBe(ExitCode.Unreachable);
    });

    it('ends with 10 when the change was sent but not read back', async () => {
      harness.log.faults = new Faults(LogFault.RequestLost, LogFault.None);
      expect((await harness.run(...apply)).code).toBe(ExitCode.OutcomeUnknown);
    });
  });

  describe('in-force', () => {
    it('shows which daemons have which values and ends with 8 while they differ', async () => {
      const section = (value: string): unknown[] => [
        { path: limits, revision: 1, values: { rate_per_s: value } },
      ];
      const answerOf = (daemon: string, value: string): unknown => ({
        daemon,
        answer: { revision: 1, nextOffset: 1, caughtUpAtMs: 0, sections: section(value) },
      });
      harness.transport.answer = () => ({
        status: 200,
        body: { answers: [answerOf('entry-1', '5'), answerOf('entry-2', '6')], missing: [] },
      });
      const { code, out, err } = await harness.run('settings', 'in-force', limits);
      expect(code).toBe(ExitCode.Partial);
      expect(out).toContain('rate_per_s = 5');
      expect(out).toContain('rate_per_s = 6');
      expect(err).toContain('differ');
      expect((await harness.run('settings', 'in-force')).out).not.toContain('rate_per_s');
    });
  });
});
