import { runSeedRange } from './seed-range.js';

runSeedRange(501, 250);
