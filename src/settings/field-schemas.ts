import { z } from 'zod';

/** Field schemas turn the text of a setting into a typed value, independent of any locale. */

const decimalPattern = /^-?(?:0|[1-9]\d*)(?:\.\d+)?$/;

/** A decimal with `.` as separator, within [min, max]. */
export function decimal(min: number, max: number): z.ZodType<number, string> {
  return z
    .string()
    .regex(decimalPattern, `must be a decimal number such as 12.5`)
    .transform(Number)
    .refine((value) => value >= min && value <= max, `must be from ${min} to ${max}`);
}

/** A whole number within [min, max]. */
export function whole(min: number, max: number): z.ZodType<number, string> {
  return z
    .string()
    .regex(/^-?(?:0|[1-9]\d*)$/, 'must be a whole number')
    .transform(Number)
    .refine((value) => value >= min && value <= max, `must be from ${min} to ${max}`);
}

/** `true` or `false`. */
export function flag(): z.ZodType<boolean, string> {
  return z.enum(['true', 'false']).transform((value) => value === 'true');
}

/** Items separated by commas; white space around an item is ignored; empty text is an empty list. */
export function list(): z.ZodType<string[], string> {
  return z.string().transform((value) =>
    value
      .split(',')
      .map((item) => item.trim())
      .filter((item) => item !== ''),
  );
}

/** Text of 1 to `maxLength` characters. */
export function text(maxLength = 200): z.ZodType<string, string> {
  return z.string().min(1, 'must not be empty').max(maxLength);
}
