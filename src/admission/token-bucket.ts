/**
 * Token bucket whose rate may change and whose balance may go negative when a charge exceeds its
 * estimate.
 *
 * @example
 * ```ts
 * const bucket = new TokenBucket(10, 20, clock.nowMs());
 * if (!bucket.tryTake(1, clock.nowMs())) retryAtMs = bucket.availableAtMs(1, clock.nowMs());
 * ```
 */
export class TokenBucket {
  #ratePerS: number;
  #capacity: number;
  #balance: number;
  #updatedAtMs: number;

  constructor(ratePerS: number, capacity: number, nowMs: number) {
    this.#ratePerS = ratePerS;
    this.#capacity = capacity;
    this.#balance = capacity;
    this.#updatedAtMs = nowMs;
  }

  /** Changes rate and capacity from now on; a balance above the new capacity is cut. */
  resize(ratePerS: number, capacity: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#ratePerS = ratePerS;
    this.#capacity = capacity;
    this.#balance = Math.min(this.#balance, capacity);
  }

  /** Takes `amount` if the balance allows it. A full bucket grants amounts above its capacity. */
  tryTake(amount: number, nowMs: number): boolean {
    this.#refill(nowMs);
    if (this.#balance < Math.min(amount, this.#capacity)) return false;
    this.#balance -= amount;
    return true;
  }

  /** Charges an amount regardless of the balance; a negative amount is returned to the bucket. */
  charge(amount: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#balance = Math.min(this.#capacity, this.#balance - amount);
  }

  /** Time at which `amount` can be taken, in epoch milliseconds; Infinity when the rate is 0. */
  availableAtMs(amount: number, nowMs: number): number {
    this.#refill(nowMs);
    const missing = Math.min(amount, this.#capacity) - this.#balance;
    return missing <= 0 ? nowMs : nowMs + (missing * 1_000) / this.#ratePerS;
  }

  #refill(nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.#updatedAtMs) / 1_000;
    this.#balance = Math.min(this.#capacity, this.#balance + elapsedS * this.#ratePerS);
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
  }
}
