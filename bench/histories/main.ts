import { defineCommand, runMain } from 'citty';
import { runHistory } from './run-history.js';

const command = defineCommand({
  meta: {
    name: 'histories',
    description: 'Runs seeded histories and checks the guarantees P1-P7.',
  },
  args: {
    runs: { type: 'string', default: '1000', description: 'Number of histories' },
    seed: { type: 'string', default: '1', description: 'Seed of the first history' },
  },
  async run({ args }) {
    const runs = Number.parseInt(args.runs, 10);
    const firstSeed = Number.parseInt(args.seed, 10);
    if (!Number.isInteger(runs) || !Number.isInteger(firstSeed)) {
      throw new Error('--runs and --seed must be integers');
    }
    const totals = new Map<string, number>();
    let failures = 0;
    for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
      const { failure, counts } = await runHistory(seed);
      for (const [kind, count] of counts) totals.set(kind, (totals.get(kind) ?? 0) + count);
      if (failure === undefined) continue;
      failures += 1;
      process.stdout.write(`${failure}\n`);
    }
    process.stdout.write(`${runs} histories, ${failures} failed\n`);
    for (const [kind, count] of totals) process.stdout.write(`  ${kind}: ${count}\n`);
    if (failures > 0) process.exitCode = 1;
  },
});

await runMain(command);
