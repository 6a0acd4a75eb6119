import { runSeedRange } from './seed-range.js';

runSeedRange(1, 250);
