import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** What was sent, answered and run in a case, in the order in which it was seen. */
export class CaseRecord {
  readonly #lines: string[] = [];
  readonly #startedAtMs = performance.now();

  /** Milliseconds since the case began. */
  nowMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  note(text: string): void {
    const line = `${(this.nowMs() / 1_000).toFixed(3).padStart(8)} s  ${text}`;
    this.#lines.push(line);
    console.log(line);
  }

  /** Writes the record into the folder of the case. */
  save(caseFolder: string): void {
    writeFileSync(join(caseFolder, 'record.txt'), `${this.#lines.join('\n')}\n`);
  }
}
