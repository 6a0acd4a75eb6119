import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

const startedAtMs = Date.now();

/** What was sent, answered and run, for `record.txt`. */
export class Record {
  readonly #path: string;
  readonly #lines: string[] = [];

  /** @param folder - of the case, below the repository. */
  constructor(folder: string) {
    this.#path = join(folder, 'record.txt');
  }

  note(text: string, atMs = Date.now()): void {
    this.#lines.push(`${((atMs - startedAtMs) / 1_000).toFixed(3)} ${text}`);
  }

  /** Notes a result, and shows it. */
  tell(text: string): void {
    this.note(text);
    console.log(text);
  }

  write(): void {
    writeFileSync(this.#path, `${this.#lines.join('\n')}\n`);
  }
}
