import { parentPort } from 'node:worker_threads';
import { deployments } from './deployments.js';
import type { RunSpec } from './run-pool.js';
import { summarise } from './run-summary.js';
import { runSimulation } from './simulation.js';

/** Runs the simulations that the main thread sends, one at a time. */
parentPort?.on('message', ({ index, spec }: { index: number; spec: RunSpec }) => {
  const { deployment, ...rest } = spec;
  const shape = deployments.find(({ name }) => name === deployment);
  if (!shape) throw new RangeError(`deployment "${deployment}" does not exist`);
  const options = { ...rest, shape };
  parentPort?.postMessage({ index, summary: summarise(options, runSimulation(options)) });
});
