import { Random, randomIds, type Clock } from '../../src/core/index.js';
import { AppendBudget, Appender, CircuitBreaker, HttpLogService } from '../../src/log/index.js';
import type { SigningKey } from '../../src/security/index.js';
import { SettingsPublisher } from '../../src/settings-publisher/index.js';
import { ConfigFold, rootKeyId, StreamReplica } from '../../src/state/index.js';
import { NullEventLog } from '../../src/telemetry/index.js';

/** Options of {@link publishBenchSettings}. */
export interface BenchSettingsOptions {
  readonly deployment: string;
  readonly logUrl: string;
  readonly engineUrl: string;
  readonly rootKey: SigningKey;
  readonly secretHash: string;
  readonly clock: Clock;
}

/** Publishes one team with one engine that takes any number of streams. */
export async function publishBenchSettings(options: BenchSettingsOptions): Promise<void> {
  const { deployment, rootKey, clock } = options;
  const log = new HttpLogService({ baseUrl: options.logUrl });
  const random = new Random(1);
  const events = new NullEventLog();
  const stream = `${deployment}.config`;
  const fold = new ConfigFold({ deployment, rootPublicKey: rootKey.publicKey });
  const replica = new StreamReplica({ log, stream, fold, clock, random, events });
  const writer = new Appender({
    log,
    stream,
    writer: 'bench',
    feed: replica,
    clock,
    random,
    newId: randomIds,
    budget: new AppendBudget({ clock, appendsPerS: 50 }),
    breaker: new CircuitBreaker({ clock, random }),
    events,
  });
  replica.start();
  const publisher = new SettingsPublisher({
    deployment,
    keyId: rootKeyId,
    key: rootKey,
    replica,
    fold,
    writer,
    clock,
    newId: randomIds,
  });
  const root = `${deployment}/bench`;
  const verdict = await publisher.publish(
    [
      { path: `${root}/services/engine`, values: { kind: 'engine', models: 'bench' } },
      { path: `${root}/workspaces/load`, values: { services: 'engine' } },
      {
        path: `${root}/limits/load`,
        values: { rate_per_s: '100000', burst_requests: '100000', concurrency_requests: '100000' },
      },
      { path: `${root}/routing/engine`, values: { silence_ms: '60000', hedge_ratio: '0' } },
      {
        path: `${root}/keys/caller`,
        values: { kind: 'caller', workspace: 'load', secret_hash: options.secretHash },
      },
      {
        path: `${root}/endpoints/e1`,
        values: {
          service: 'engine',
          base_url: options.engineUrl,
          region: 'r1',
          failure_domain: 'f1',
          vm_id: 'vm-1',
          batch_slots: '10000',
        },
      },
    ],
    clock.nowMs() + 10_000,
  );
  writer.stop();
  await replica.stop();
  await log.close();
  if (!verdict.isAccepted) throw new Error(verdict.message);
}
