import { parseArgs } from 'node:util';
import { writeEventsToStderr } from '../telemetry/index.js';
import { DemoCluster } from './demo-cluster.js';
import { walkThrough } from './walk-through.js';

/** Serves until a signal, or with `--once` walks through the main job and exits. */
async function main(): Promise<void> {
  const { values } = parseArgs({ options: { once: { type: 'boolean', default: false } } });
  if (!values.once) writeEventsToStderr();
  const cluster = new DemoCluster();
  await cluster.start();
  if (values.once) {
    const isRight = await walkThrough(cluster);
    await cluster.stop();
    process.exit(isRight ? 0 : 1);
  }
  const ready = { ready: true, baseUrl: `${cluster.callerUrl}/v1`, apiKey: cluster.callerKey };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
  const stop = (): void => {
    void cluster.stop().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

await main();
