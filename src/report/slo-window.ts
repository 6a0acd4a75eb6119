import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const minuteMs = 60_000;

/** Longest window of the burn-rate rules; older counts are dropped. */
export const sloRetentionMs = 6 * 60 * minuteMs;

/** Width of a histogram slot and of a point in the plots. */
export const sloSlotMs = 10 * minuteMs;

const retentionMinutes = sloRetentionMs / minuteMs;

/** Number of requests or token gaps, and of those that missed their objective. */
export interface SloCounts {
  readonly total: number;
  readonly bad: number;
}

/** Counts of one ten-minute slot, a point in the plots. */
export interface SloSlot extends SloCounts {
  /** Epoch milliseconds, a multiple of {@link sloSlotMs}, so that the daemons' slots align. */
  readonly startAtMs: number;
}

interface HistogramSlot {
  readonly index: number;
  readonly encoded: string;
}

/**
 * Creates an empty histogram of milliseconds with 2 significant digits, the format of all merged
 * histograms.
 *
 * @example
 * ```ts
 * const merged = newHistogram();
 * merged.add(decodeHistogram(text));
 * ```
 */
export function newHistogram(): Histogram {
  return build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2, useWebAssembly: false });
}

/**
 * Decodes the base64 text of a histogram.
 *
 * @throws Error when the text is not an encoded histogram.
 * @example
 * ```ts
 * decodeHistogram(series.histogram).getValueAtPercentile(95);
 * ```
 */
export function decodeHistogram(text: string): Histogram {
  return decodeFromCompressedBase64(text, 32, false);
}

/**
 * The last six hours of one objective: exact counts per minute, and histograms per ten minutes for
 * the last hour. Histograms of closed slots are compressed: 1 KB instead of 3.5 KB for 200,000
 * latencies.
 *
 * @example
 * ```ts
 * const window = new SloWindow();
 * window.record(clock.nowMs(), 840, false);
 * window.counts(clock.nowMs(), 300_000); // { total: 1, bad: 0 }
 * ```
 */
export class SloWindow {
  readonly #total = new Uint32Array(retentionMinutes);
  readonly #bad = new Uint32Array(retentionMinutes);
  #minute = -1;
  #slotIndex = -1;
  #openHistogram: Histogram | undefined;
  readonly #closedSlots: HistogramSlot[] = [];

  /**
   * Counts one request or token gap.
   *
   * @param nowMs - epoch milliseconds; a value before the last one counts as the last one.
   * @param valueMs - latency; undefined when the objective has none.
   * @param bad - whether the objective was missed.
   */
  record(nowMs: number, valueMs: number | undefined, bad: boolean): void {
    this.#advance(nowMs);
    const index = this.#minute % retentionMinutes;
    this.#total[index] = (this.#total[index] ?? 0) + 1;
    if (bad) this.#bad[index] = (this.#bad[index] ?? 0) + 1;
    if (valueMs !== undefined) {
      this.#openHistogram ??= newHistogram();
      this.#openHistogram.recordValue(Math.max(0, Math.round(valueMs)));
    }
  }

  /** Sums the current minute and the minutes before it that `windowMs` covers, at most 6 h. */
  counts(nowMs: number, windowMs: number): SloCounts {
    this.#advance(nowMs);
    const minutes = Math.min(retentionMinutes, Math.max(1, Math.round(windowMs / minuteMs)));
    return this.#sum(this.#minute - minutes + 1, this.#minute);
  }

  /** Non-empty slots of ten minutes, oldest first. */
  slots(nowMs: number): SloSlot[] {
    this.#advance(nowMs);
    const slots: SloSlot[] = [];
    const minutesInSlot = sloSlotMs / minuteMs;
    const oldest = this.#minute - retentionMinutes + 1;
    const last = Math.floor(this.#minute / minutesInSlot);
    for (let slot = Math.floor(oldest / minutesInSlot); slot <= last; slot++) {
      const first = slot * minutesInSlot;
      const counts = this.#sum(
        Math.max(first, oldest),
        Math.min(first + minutesInSlot - 1, this.#minute),
      );
      if (counts.total > 0) slots.push({ startAtMs: slot * sloSlotMs, ...counts });
    }
    return slots;
  }

  /** Merged histogram of the last hour, in whole slots; undefined without values. */
  lastHourHistogram(nowMs: number): Histogram | undefined {
    this.#advance(nowMs);
    const oldest = this.#slotIndex - 6;
    const parts = this.#closedSlots
      .filter(({ index }) => index >= oldest)
      .map(({ encoded }) => decodeHistogram(encoded));
    if (this.#openHistogram) parts.push(this.#openHistogram);
    if (parts.length === 0) return undefined;
    const merged = newHistogram();
    for (const part of parts) merged.add(part);
    return merged;
  }

  #sum(firstMinute: number, lastMinute: number): SloCounts {
    let total = 0;
    let bad = 0;
    for (let minute = Math.max(0, firstMinute); minute <= lastMinute; minute++) {
      total += this.#total[minute % retentionMinutes] ?? 0;
      bad += this.#bad[minute % retentionMinutes] ?? 0;
    }
    return { total, bad };
  }

  #advance(nowMs: number): void {
    const minute = Math.floor(nowMs / minuteMs);
    if (minute <= this.#minute) return;
    if (this.#minute < 0 || minute - this.#minute >= retentionMinutes) {
      this.#total.fill(0);
      this.#bad.fill(0);
    } else {
      for (let cleared = this.#minute + 1; cleared <= minute; cleared++) {
        this.#total[cleared % retentionMinutes] = 0;
        this.#bad[cleared % retentionMinutes] = 0;
      }
    }
    this.#minute = minute;
    const slotIndex = Math.floor(nowMs / sloSlotMs);
    if (slotIndex === this.#slotIndex) return;
    if (this.#openHistogram) {
      this.#closedSlots.push({
        index: this.#slotIndex,
        encoded: encodeIntoCompressedBase64(this.#openHistogram),
      });
      this.#openHistogram = undefined;
    }
    this.#slotIndex = slotIndex;
    // Only the histograms of the last hour are read.
    while ((this.#closedSlots[0]?.index ?? slotIndex) < slotIndex - 6) this.#closedSlots.shift();
  }
}
