import { z } from 'zod';

/** Schemas that parse the text of a setting into a typed value, independently of the locale. */

const decimalPattern = /^-?(?:0|[1-9]\d*)(?:\.\d+)?$/;

/** Attaches a description of the allowed values, for error messages and the reference page. */
function withAllowedValues<T extends z.ZodType>(allowed: string, schema: T): T {
  return schema.meta({ allowed });
}

/** A decimal with `.` as separator, within [min, max]. */
export function decimal(min: number, max: number): z.ZodType<number, string> {
  return withAllowedValues(
    `${min} to ${max}`,
    z
      .string()
      .regex(decimalPattern, `must be a decimal number such as 12.5`)
      .transform(Number)
      .refine((value) => value >= min && value <= max, `must be from ${min} to ${max}`),
  );
}

/** An integer within [min, max]. */
export function integer(min: number, max: number): z.ZodType<number, string> {
  return withAllowedValues(
    `whole number, ${min} to ${max}`,
    z
      .string()
      .regex(/^-?(?:0|[1-9]\d*)$/, 'must be a whole number')
      .transform(Number)
      .refine((value) => value >= min && value <= max, `must be from ${min} to ${max}`),
  );
}

/** `true` or `false`. */
export function boolean(): z.ZodType<boolean, string> {
  return withAllowedValues(
    'true, false',
    z.enum(['true', 'false']).transform((value) => value === 'true'),
  );
}

/** Items separated by commas. White space around an item is ignored; empty items are dropped. */
export function list(): z.ZodType<string[], string> {
  return withAllowedValues(
    'items separated by commas, may be empty',
    z.string().transform((value) =>
      value
        .split(',')
        .map((item) => item.trim())
        .filter((item) => item !== ''),
    ),
  );
}

/** Text of 1 to `maxLength` characters. */
export function text(maxLength = 200): z.ZodType<string, string> {
  return withAllowedValues(
    `text of 1 to ${maxLength} characters`,
    z.string().min(1, 'must not be empty').max(maxLength),
  );
}

/** Text of at most `maxLength` characters that may be empty. */
export function optionalText(maxLength: number): z.ZodType<string, string> {
  return withAllowedValues(`text of at most ${maxLength} characters`, z.string().max(maxLength));
}

/** Routes as `METHOD /path-prefix`, separated by commas. */
export function routeList(): z.ZodType<string[], string> {
  return withAllowedValues(
    '`METHOD /path-prefix`, separated by commas, may be empty',
    list().refine(
      (routes) => routes.every((route) => /^[A-Z]+ \/\S*$/.test(route)),
      'must be routes such as POST /orders',
    ),
  );
}

/** Base URL of an HTTP server. */
export function httpUrl(): z.ZodType<string, string> {
  return withAllowedValues('http or https URL', z.url({ protocol: /^https?$/ }));
}

/** Salted scrypt hash of a secret. */
export function secretHash(): z.ZodType<string, string> {
  return withAllowedValues(
    '`scrypt$`, 32 hexadecimal digits of salt, `$`, 64 of hash',
    z.string().regex(/^scrypt\$[0-9a-f]{32}\$[0-9a-f]{64}$/, 'must be scrypt$salt$hash'),
  );
}
