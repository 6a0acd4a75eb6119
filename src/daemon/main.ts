#!/usr/bin/env node
import { readFile } from 'node:fs/promises';
import { defineCommand, runMain } from 'citty';
import { SystemClock } from '../core/index.js';
import {
  NullMetrics,
  RoarrEventLog,
  StatsdMetrics,
  handleUnexpectedErrors,
  writeEventsToStderr,
  type Metrics,
} from '../telemetry/index.js';
import { Daemon } from './daemon.js';
import { parseDaemonSettings, type DaemonSettings } from './daemon-settings.js';

const command = defineCommand({
  meta: { name: 'oriolestackd', description: 'Serves callers of one deployment.' },
  args: {
    config: { type: 'string', description: 'INI file of this daemon', required: true },
    check: { type: 'boolean', description: 'check the file and exit', default: false },
  },
  async run({ args }) {
    const settings = parseDaemonSettings(await readFile(args.config, 'utf8'), args.config);
    if (args.check) {
      process.stdout.write(`${args.config}: valid\n`);
      return;
    }
    await serve(settings);
  },
});

async function serve(settings: DaemonSettings): Promise<void> {
  writeEventsToStderr();
  const events = new RoarrEventLog({ daemon: settings.daemon.name });
  const metrics = createMetrics(settings);
  let hasStarted = false;
  handleUnexpectedErrors({ events, metrics, hasStarted: () => hasStarted });
  const daemon = new Daemon({ settings, clock: new SystemClock(), events, metrics });
  await daemon.start();
  hasStarted = true;
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) {
      // A second signal ends the process at once and cuts off the requests in flight.
      const hasCutOff = daemon.logCutOffRequests() > 0;
      process.exit(hasCutOff ? 1 : 0);
    }
    isStopping = true;
    daemon.stop().then(
      () => process.exit(0),
      (error: unknown) => {
        process.stderr.write(`oriolestackd: the graceful stop failed: ${String(error)}\n`);
        process.exit(1);
      },
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

function createMetrics(settings: DaemonSettings): Metrics {
  const { host, port } = settings.metrics;
  if (host === '') return new NullMetrics();
  return new StatsdMetrics({ host, port, daemon: settings.daemon.name });
}

await runMain(command);
