/** Bytes that separate the parts of a head. */
export const lineFeed = 0x0a;
export const carriageReturn = 0x0d;
export const colon = 0x3a;

const tab = 0x09;
const space = 0x20;
const del = 0x7f;

const tokenCharacters =
  "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

/** For each byte, 1 if a token may hold it. */
const tokenBytes = new Uint8Array(256);
for (const byte of Buffer.from(tokenCharacters)) tokenBytes[byte] = 1;

/** Whether the name of a field may hold a byte; false without one. */
export function isNameByte(byte: number | undefined): boolean {
  return byte !== undefined && tokenBytes[byte] === 1;
}

/**
 * Whether the value of a field may hold a byte; false without one. Bytes above ASCII are opaque, and
 * allowed.
 */
export function isValueByte(byte: number | undefined): boolean {
  if (byte === undefined) return false;
  return byte >= space ? byte !== del : byte === tab;
}
