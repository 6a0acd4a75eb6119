import { describe, expect, it } from 'vitest';
import { Random, VirtualClock } from '../../src/core/index.js';
import { AppendBudget, CircuitBreaker, CircuitState, EntryPriority } from '../../src/log/index.js';

describe('AppendBudget', () => {
  it('keeps to its share and grants high priority first (else snapshots delay claims)', async () => {
    const clock = new VirtualClock();
    const budget = new AppendBudget({ clock, appendsPerS: 100, liveDaemons: 10 });
    const order: EntryPriority[] = [];
    const priorities = [EntryPriority.Low, EntryPriority.Low, EntryPriority.High];
    for (const priority of [...priorities, ...priorities, ...priorities]) {
      void budget.acquire(() => priority).then(() => order.push(priority));
    }
    await clock.advance(300);
    expect(budget.ratePerS).toBe(10);
    // The two burst tokens go to the first waiters; the three refilled ones go to high priority.
    const { Low, High } = EntryPriority;
    expect(order).toEqual([Low, Low, High, High, High]);
  });

  it('never falls below one append per second (else a wrong member count blocks a daemon)', () => {
    const budget = new AppendBudget({ clock: new VirtualClock(), appendsPerS: 300 });
    budget.updateShare(10_000);
    expect(budget.ratePerS).toBe(1);
  });
});

describe('CircuitBreaker', () => {
  it('admits one probe at a time and closes on its success (else a recovering log is flooded)', () => {
    const clock = new VirtualClock();
    const breaker = new CircuitBreaker({ clock, random: new Random(1), failureThreshold: 2 });
    breaker.recordFailure();
    expect(breaker.tryAcquire()).toBe(true);
    breaker.recordFailure();
    expect(breaker.state).toBe(CircuitState.Open);
    expect(breaker.tryAcquire()).toBe(false);
    clock.runUntil(breaker.retryAtMs);
    expect([breaker.tryAcquire(), breaker.tryAcquire()]).toEqual([true, false]);
    breaker.recordSuccess();
    expect(breaker.tryAcquire()).toBe(true);
  });
});
