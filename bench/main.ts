import { mkdir, writeFile } from 'node:fs/promises';
import Table from 'cli-table3';
import type { BenchRow } from './suite.js';
import { suites } from './suites.js';

/** Runs the suites named on the command line, or all of them, and writes a table and JSON. */
async function main(names: readonly string[]): Promise<void> {
  const chosen = suites.filter((suite) => names.length === 0 || names.includes(suite.name));
  const results: Record<string, BenchRow[]> = {};
  for (const suite of chosen) {
    const rows = await suite.run();
    results[suite.name] = rows;
    process.stdout.write(`${suite.name}\n${formatRows(rows)}\n`);
  }
  await mkdir('bench/out', { recursive: true });
  await writeFile('bench/out/bench.json', `${JSON.stringify(results, null, 2)}\n`);
}

function formatRows(rows: readonly BenchRow[]): string {
  const table = new Table({
    head: ['measure', 'value', 'unit', 'target', 'met'],
    style: { head: [], border: [] },
  });
  for (const { name, value, unit, target } of rows) {
    const limit = target ? `${target.isUpperBound ? '<=' : '>='} ${target.limit}` : '';
    const met = target
      ? target.isUpperBound
        ? value <= target.limit
        : value >= target.limit
      : undefined;
    table.push([
      name,
      value.toPrecision(4),
      unit,
      limit,
      met === undefined ? '' : met ? 'yes' : 'NO',
    ]);
  }
  return table.toString();
}

await main(process.argv.slice(2));
