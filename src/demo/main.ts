import { randomUUID } from 'node:crypto';
import { SystemClock } from '../core/index.js';
import { Daemon, parseDaemonSettings } from '../daemon/index.js';
import { HttpLogService } from '../log/index.js';
import { parseSettings } from '../settings/index.js';
import { encodeEnvelope, EntryKind } from '../state/index.js';
import { NullMetrics, RoarrEventLog, writeEventsToStderr } from '../telemetry/index.js';
import { demoDeployment, DemoPlatform } from './demo-platform.js';

/** Starts the stand-ins and three daemons in one process and serves until a signal. */
async function main(): Promise<void> {
  writeEventsToStderr();
  const platform = new DemoPlatform();
  await platform.start();
  await publish(platform);
  const daemons = platform.failureDomains.map(({ region, failureDomain }, index) => {
    const text = [
      '[daemon]',
      `name = entry-${index + 1}`,
      `deployment = ${demoDeployment}`,
      `region = ${region}`,
      `failure_domain = ${failureDomain}`,
      'caller_listen = 127.0.0.1:0',
      'admin_listen = 127.0.0.1:0',
      'rpc_listen = 127.0.0.1:0',
      '[log]',
      `base_url = ${platform.log.baseUrl}`,
      '[trust]',
      'root_public_key = none',
    ].join('\n');
    return new Daemon({
      settings: parseDaemonSettings(text, `entry-${index + 1}.ini`),
      clock: new SystemClock(),
      events: new RoarrEventLog({ daemon: `entry-${index + 1}` }),
      metrics: new NullMetrics(),
    });
  });
  for (const daemon of daemons) await daemon.start();
  const ready = {
    ready: true,
    baseUrl: `${daemons[0]?.callerUrl ?? ''}/v1`,
    apiKey: platform.callerKeys.get('tejidos/counter'),
  };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
  const stop = (): void => {
    void Promise.all(daemons.map((daemon) => daemon.stop()))
      .then(() => platform.close())
      .then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

async function publish(platform: DemoPlatform): Promise<void> {
  const log = new HttpLogService({ baseUrl: platform.log.baseUrl });
  const sections = parseSettings(platform.settingsText, 'demo.ini');
  const edits = [...sections].map(([path, values]) => ({ path, expectedRevision: 0, values }));
  await log.append(`${demoDeployment}.config`, {
    id: randomUUID(),
    data: encodeEnvelope('demo', [{ kind: EntryKind.SettingsChange, edits }]),
  });
  await log.close();
}

await main();
