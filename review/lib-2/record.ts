import { appendFileSync, writeFileSync } from 'node:fs';

/** What a script wrote down: one line for each thing that was sent, answered or run. */
export class CaseRecord {
  readonly #path: string;
  readonly #startedAtMs = performance.now();

  /** @param path - file that is written anew. */
  constructor(path: string) {
    this.#path = path;
    writeFileSync(path, '');
  }

  /** Writes a line with the time since the start. */
  line(text: string): void {
    const atS = (performance.now() - this.#startedAtMs) / 1_000;
    appendFileSync(this.#path, `${atS.toFixed(3).padStart(8)} ${text}\n`);
  }
}
