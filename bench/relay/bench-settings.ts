import { Random, type Clock } from '../../src/core/index.js';
import { SettingsSession } from '../../src/ctl/index.js';
import { HttpLogService } from '../../src/log/index.js';
import { SigningKey } from '../../src/security/index.js';
import { rootKeyId } from '../../src/state/index.js';

/** Options of {@link publishBenchSettings}. */
export interface BenchSettingsOptions {
  readonly deployment: string;
  readonly logUrl: string;
  readonly engineUrl: string;
  /** Secret of the deployment's root operator. */
  readonly rootSecret: string;
  readonly secretHash: string;
  readonly clock: Clock;
}

const publishTimeoutMs = 10_000;

/** Publishes one team with one engine that takes any number of streams. */
export async function publishBenchSettings(options: BenchSettingsOptions): Promise<void> {
  const { deployment, rootSecret, clock } = options;
  const log = new HttpLogService({ baseUrl: options.logUrl });
  const deadlineAtMs = clock.nowMs() + publishTimeoutMs;
  const session = await SettingsSession.open({
    log,
    deployment,
    rootPublicKey: SigningKey.fromSecret(rootSecret).publicKey,
    key: { keyId: rootKeyId, secret: rootSecret },
    clock,
    random: new Random(1),
    deadlineAtMs,
  });
  const root = `${deployment}/bench`;
  const verdict = await session.publish(
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
    deadlineAtMs,
  );
  await session.close();
  await log.close();
  if (!verdict.isAccepted) throw new Error(verdict.message);
}
