import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';

const root = join(import.meta.dirname, '..', '..');
const maxPlatformLines = 2_500;

function sources(directory: string): { file: string; text: string }[] {
  const path = join(root, directory);
  return readdirSync(path, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts'))
    .map((file) => ({ file, text: readFileSync(join(path, file), 'utf8') }));
}

/** Names on the wire that only the platform's interfaces use. */
const wireNames = [
  /['"`]oriolestack-(?:request-id|deadline-ms|server-seal|tenant|expect-instance)/i,
  /\/oriolestack\//,
  /\b(?:traffic_split|path_prefix|gap_aim_ms|kv_capacity|scaling_limits|heartbeat_ms|api_keys)\b/,
  /\bkeyed\.(?:op|servers)\b/,
];

describe('platform/', () => {
  it('is imported by nothing in src', () => {
    for (const { file, text } of sources('src')) {
      expect(/from '[^']*platform\//.test(text), file).toBe(false);
    }
  });

  it('is the only code that contains names on the wire', () => {
    for (const { file, text } of sources('src')) {
      for (const name of wireNames) expect(name.test(text), `${file}: ${name.source}`).toBe(false);
    }
  });

  it('stays small', () => {
    const lines = sources('platform').reduce((sum, { text }) => sum + text.split('\n').length, 0);
    expect(lines).toBeLessThan(maxPlatformLines);
  });
});
