import type { Ledger } from './ledger.js';

const checkPeriodMs = 20;
const minStallMs = 100;

/** Notes when this process, which plays callers, proxies and endpoints, stands still. */
export class OwnStalls {
  readonly #timer: NodeJS.Timeout;
  #checkedAtMs = Date.now();

  constructor(ledger: Ledger) {
    this.#timer = setInterval(() => {
      const nowMs = Date.now();
      const fromMs = this.#checkedAtMs;
      if (nowMs - fromMs > minStallMs) ledger.ownStalls.push({ fromMs, untilMs: nowMs });
      this.#checkedAtMs = nowMs;
    }, checkPeriodMs);
  }

  stop(): void {
    clearInterval(this.#timer);
  }
}
