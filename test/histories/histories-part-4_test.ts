import { runSeedRange } from './seed-range.js';

runSeedRange(751, 250);
