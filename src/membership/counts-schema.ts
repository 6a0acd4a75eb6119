import { z } from 'zod';

/** Largest count that is taken from another daemon. */
export const maxCount = Number.MAX_SAFE_INTEGER;

/**
 * Counts by name, from another daemon or from the store. A value that is no count is left out, so that
 * it costs neither the other counts nor what they came with. Names without any count are refused.
 */
export const countsSchema = z
  .record(z.string(), z.unknown())
  .transform((values, context): Record<string, number> => {
    const entries = Object.entries(values);
    const counts = entries.filter((entry): entry is [string, number] => isCount(entry[1]));
    if (entries.length > 0 && counts.length === 0) {
      context.addIssue({ code: 'custom', message: 'holds no count' });
      return z.NEVER;
    }
    return Object.fromEntries(counts);
  });

/** Whether a value is a count that sums can bear. */
function isCount(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= maxCount;
}
