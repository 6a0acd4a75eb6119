import { runSeedRange } from './seed-range.js';

runSeedRange(251, 250);
