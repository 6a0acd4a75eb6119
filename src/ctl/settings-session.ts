import { randomIds, type Clock, type IdSource, type Random } from '../core/index.js';
import { AppendBudget, Appender, CircuitBreaker, type LogService } from '../log/index.js';
import { SigningKey, type BearerKey } from '../security/index.js';
import type { SectionValues } from '../settings/index.js';
import { SettingsPublisher, type ProposedEdit } from '../settings-publisher/index.js';
import {
  ConfigFold,
  StreamReplica,
  type ConfigVerdict,
  type SectionVersion,
} from '../state/index.js';
import { NullEventLog } from '../telemetry/index.js';
import { CtlError } from './ctl-error.js';
import { ExitCode } from './exit-code.js';

/** Options of {@link SettingsSession.open}. */
export interface SettingsSessionOptions {
  readonly log: LogService;
  readonly deployment: string;
  /** Ed25519 public key (SPKI, base64) of the deployment's root key. */
  readonly rootPublicKey: string;
  /** Operator's key that signs; undefined for reading. */
  readonly key?: BearerKey | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId?: IdSource;
  /** Epoch milliseconds by which the stream must have been read to its end. */
  readonly deadlineAtMs: number;
}

/**
 * Settings as the log has them, read and decided by the same fold as on every daemon. Nothing goes
 * through a daemon, so that settings can be repaired while no daemon works.
 *
 * @example
 * ```ts
 * const session = await SettingsSession.open({ log, deployment: 'prod', rootPublicKey, ... });
 * const verdict = await session.publish([{ path, values, expectedRevision }], deadlineAtMs);
 * await session.close();
 * ```
 */
export class SettingsSession {
  readonly #fold: ConfigFold;
  readonly #replica: StreamReplica;
  readonly #options: SettingsSessionOptions;

  private constructor(fold: ConfigFold, replica: StreamReplica, options: SettingsSessionOptions) {
    this.#fold = fold;
    this.#replica = replica;
    this.#options = options;
  }

  /** @throws CtlError (unreachable) when the stream could not be read to its end in time. */
  static async open(options: SettingsSessionOptions): Promise<SettingsSession> {
    const { log, deployment, rootPublicKey, clock, random } = options;
    const fold = new ConfigFold({ deployment, rootPublicKey });
    const replica = new StreamReplica({
      log,
      stream: `${deployment}.config`,
      fold,
      clock,
      random: random.fork(),
      events: new NullEventLog(),
    });
    replica.start();
    const timeout = new AbortController();
    await Promise.race([replica.ready, clock.sleepUntil(options.deadlineAtMs, timeout.signal)]);
    timeout.abort();
    if (!replica.isReady) {
      await replica.stop();
      throw new CtlError(
        ExitCode.Unreachable,
        `the log service did not deliver stream ${replica.stream} in time; check --log-url`,
        replica.stream,
      );
    }
    return new SettingsSession(fold, replica, options);
  }

  /** Sections in force, by path. */
  sections(): ReadonlyMap<string, SectionValues> {
    return this.#fold.sections();
  }

  /** Revision of a path; 0 when it never existed. */
  revisionOf(path: string): number {
    return this.#fold.revisionOf(path);
  }

  /** Versions of a path, newest first. */
  history(path: string): readonly SectionVersion[] {
    return this.#fold.history(path);
  }

  /**
   * Publishes one atomic change and waits for the decision.
   *
   * @throws CtlError (denied) without a key; AppendFailedError when the change was not read back.
   */
  async publish(edits: readonly ProposedEdit[], deadlineAtMs: number): Promise<ConfigVerdict> {
    const { log, deployment, clock, random, key, newId = randomIds } = this.#options;
    if (!key) {
      throw new CtlError(
        ExitCode.Denied,
        'publishing needs an operator key; name its file with --key-file',
      );
    }
    const writer = new Appender({
      log,
      stream: this.#replica.stream,
      writer: `oriolectl ${key.keyId}`,
      feed: this.#replica,
      clock,
      random: random.fork(),
      newId,
      budget: new AppendBudget({ clock, appendsPerS: 10 }),
      breaker: new CircuitBreaker({ clock, random: random.fork() }),
      events: new NullEventLog(),
    });
    const publisher = new SettingsPublisher({
      deployment,
      keyId: key.keyId,
      key: SigningKey.fromSecret(key.secret),
      replica: this.#replica,
      fold: this.#fold,
      writer,
      clock,
      newId,
    });
    try {
      return await publisher.publish(edits, deadlineAtMs);
    } finally {
      writer.stop();
    }
  }

  /** Stops reading the stream. */
  async close(): Promise<void> {
    await this.#replica.stop();
  }
}
