import { parseArgs } from 'node:util';
import { runSoak, SoakPlay } from './run-soak.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: String(Math.floor(Math.random() * 1_000_000)) },
    runs: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '20' },
    play: { type: 'string', default: SoakPlay.Faults },
  },
});
const firstSeed = Number(values.seed);
const runs = Number(values.runs);
const play = Object.values(SoakPlay).find((name: string) => name === values.play);
if (!play) throw new Error(`--play is one of: ${Object.values(SoakPlay).join(', ')}`);
let failed = 0;
for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
  const { broken, calls, served, crashes, faults, directory } = await runSoak(
    seed,
    Number(values.seconds) * 1_000,
    play,
  );
  console.log(
    `seed ${seed}: ${served} of ${calls} calls served, ${faults.length} faults, ${crashes} crashes`,
  );
  if (broken.length === 0) continue;
  failed += 1;
  console.log(
    `FAILED; replay with: npm run soak -- --seed ${seed} --seconds ${values.seconds} --play ${play}; logs in ${directory}`,
  );
  for (const line of broken.slice(0, 20)) console.log(`  ${line}`);
  for (const fault of faults) console.log(`  fault: ${fault}`);
}
console.log(`${runs} soaks, ${failed} failed`);
// Sockets of killed processes may stay half open.
process.exit(failed > 0 ? 1 : 0);
