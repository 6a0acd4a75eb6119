import { CreateIntentStore, LeaseManager, type CreateIntent } from '../capacity/index.js';
import { OrioleError, Step, type Clock } from '../core/index.js';
import type { Fence } from '../state/index.js';

const durationMs = 10_000;

interface Lease {
  readonly holder: MemoryLeaseManager;
  readonly fence: Fence;
  readonly expiresAtMs: number;
}

/** Leases and create intents that several daemons share, in place of the control stream. */
export class MemoryControlStream extends CreateIntentStore {
  /** Nothing can be recorded while true. */
  isDown = false;
  /** Time from the acceptance of a record until its writer goes on, as after a pause. */
  recordDelayMs = 0;
  readonly clock: Clock;
  readonly leases = new Map<string, Lease>();
  readonly #intents = new Map<string, Map<string, CreateIntent>>();
  #nextFence = 1;

  constructor(clock: Clock) {
    super();
    this.clock = clock;
  }

  nextFence(): Fence {
    return this.#nextFence++;
  }

  /** @throws OrioleError while the stream is down. */
  checkUp(): void {
    if (this.isDown) {
      throw new OrioleError('the control stream is down', { step: Step.Log, peer: 'memory' });
    }
  }

  override intentsOf(name: string): readonly CreateIntent[] {
    return [...(this.#intents.get(name)?.values() ?? [])];
  }

  override async recordIntent(name: string, intent: CreateIntent, fence: Fence): Promise<void> {
    this.#check(name, fence);
    const intents = this.#intents.get(name) ?? new Map<string, CreateIntent>();
    this.#intents.set(name, intents.set(intent.request.token, intent));
    if (this.recordDelayMs > 0) {
      await this.clock.sleepUntil(this.clock.nowMs() + this.recordDelayMs);
    }
  }

  override async deleteIntent(name: string, token: string, fence: Fence): Promise<void> {
    this.#check(name, fence);
    this.#intents.get(name)?.delete(token);
  }

  #check(name: string, fence: Fence): void {
    this.checkUp();
    if (this.leases.get(name)?.fence !== fence) {
      throw new OrioleError('the fence is old', { step: Step.State, peer: 'memory' });
    }
  }
}

/** {@link LeaseManager} of one daemon on a {@link MemoryControlStream}. */
export class MemoryLeaseManager extends LeaseManager {
  readonly #stream: MemoryControlStream;
  readonly #held = new Map<string, Lease>();

  constructor(stream: MemoryControlStream) {
    super();
    this.#stream = stream;
  }

  override async acquire(name: string): Promise<Fence | undefined> {
    this.#stream.checkUp();
    const current = this.#stream.leases.get(name);
    if (current && current.expiresAtMs > this.#stream.clock.nowMs()) return undefined;
    return this.#grant(name, this.#stream.nextFence());
  }

  override async renew(name: string): Promise<boolean> {
    const held = this.#held.get(name);
    if (this.#stream.isDown || !held || this.#stream.leases.get(name)?.fence !== held.fence) {
      return false;
    }
    this.#grant(name, held.fence);
    return true;
  }

  override fence(name: string): Fence | undefined {
    return this.#held.get(name)?.fence;
  }

  override isHeld(name: string): boolean {
    return (this.#held.get(name)?.expiresAtMs ?? 0) > this.#stream.clock.nowMs();
  }

  #grant(name: string, fence: Fence): Fence {
    const expiresAtMs = this.#stream.clock.nowMs() + durationMs;
    const lease: Lease = { holder: this, fence, expiresAtMs };
    this.#stream.leases.set(name, lease);
    this.#held.set(name, lease);
    return fence;
  }
}
