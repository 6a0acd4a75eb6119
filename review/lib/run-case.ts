import { join } from 'node:path';
import type { CaseRecord } from './case-record.js';

/** Whether the disruption is to be played. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Plays a case and ends the process: with 0 if the rule held, 1 if it was broken, 2 if the case could
 * not run.
 *
 * @param play - resolves to what broke the rule; undefined if it held.
 */
export async function runCase(
  folder: string,
  record: CaseRecord,
  play: () => Promise<string | undefined>,
): Promise<never> {
  let code: number;
  try {
    const failure = await play();
    record.note(failure === undefined ? 'the rule held' : `the rule is broken: ${failure}`);
    code = failure === undefined ? 0 : 1;
  } catch (error) {
    record.note(`could not run: ${error instanceof Error ? error.message : String(error)}`);
    code = 2;
  }
  record.save(join(process.cwd(), 'review', folder));
  process.exit(code);
}
