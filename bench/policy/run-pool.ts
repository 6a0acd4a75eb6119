import { Worker } from 'node:worker_threads';
import type { RunSummary } from './run-summary.js';
import type { RunOptions } from './run-record.js';

/** A run as it is sent to a worker thread. */
export interface RunSpec extends Omit<RunOptions, 'shape'> {
  /** Name of the deployment. */
  readonly deployment: string;
}

/** Runs all specs on `threads` worker threads; results are in the order of the specs. */
export async function runAll(specs: readonly RunSpec[], threads: number): Promise<RunSummary[]> {
  const results = new Array<RunSummary>(specs.length);
  let next = 0;
  await Promise.all(
    Array.from({ length: Math.min(threads, specs.length) }, async () => {
      const worker = new Worker(new URL('./worker.js', import.meta.url));
      try {
        while (next < specs.length) {
          const index = next++;
          results[index] = await runOne(worker, index, specs[index]!);
        }
      } finally {
        await worker.terminate();
      }
    }),
  );
  return results;
}

function runOne(worker: Worker, index: number, spec: RunSpec): Promise<RunSummary> {
  return new Promise((resolve, reject) => {
    worker.once('error', reject);
    worker.once('message', ({ summary }: { summary: RunSummary }) => {
      worker.off('error', reject);
      resolve(summary);
    });
    worker.postMessage({ index, spec });
  });
}
