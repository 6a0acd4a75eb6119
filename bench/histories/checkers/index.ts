import { acceptedJobsSurvive } from './accepted-jobs-survive.js';
import { atMostOnce } from './at-most-once.js';
import type { Checker } from './checker.js';
import { configurationInForce } from './configuration-in-force.js';
import { gracefulStop } from './graceful-stop.js';
import { leavingEndpointsRest } from './leaving-endpoints-rest.js';
import { notRunIsTrue } from './not-run-is-true.js';
import { pausesAreKept } from './pauses-are-kept.js';
import { refusalsNameTheEnd } from './refusals-name-the-end.js';
import { soundEndpointsServe } from './sound-endpoints-serve.js';
import { toldLeavingIsKept } from './told-leaving-is-kept.js';
import { wholeAnswers } from './whole-answers.js';

/** Checkers of the guarantees P1 to P7, in this order, and of what endpoints say themselves. */
export const checkers: readonly Checker[] = [
  acceptedJobsSurvive,
  wholeAnswers,
  notRunIsTrue,
  atMostOnce,
  leavingEndpointsRest,
  gracefulStop,
  configurationInForce,
  toldLeavingIsKept,
  pausesAreKept,
  soundEndpointsServe,
  refusalsNameTheEnd,
];
