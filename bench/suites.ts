import { ControlCostSuite } from './control-cost.js';
import { EventPiecesSuite } from './event-pieces.js';
import { LogCatchUpSuite } from './log-catch-up.js';
import { NoticeCostSuite } from './notices/notice-cost-suite.js';
import { RecoverySuite } from './recovery.js';
import { RelaySuite } from './relay/relay-suite.js';
import { StateSizeSuite } from './state-size.js';
import type { BenchSuite } from './suite.js';

/** All suites in the order in which they run. */
export const suites: readonly BenchSuite[] = [
  new LogCatchUpSuite(),
  new RecoverySuite(),
  new ControlCostSuite(),
  new RelaySuite(),
  new EventPiecesSuite(),
  new StateSizeSuite(),
  new NoticeCostSuite(),
];
