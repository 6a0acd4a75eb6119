import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

const startedAtMs = Date.now();

/** A script that stood still for longer has measured itself, not the system. */
const maxOwnStallMs = 400;
const stallCheckMs = 20;

let longestStallMs = 0;
let lastTurnAtMs = performance.now();
setInterval(() => {
  const nowMs = performance.now();
  longestStallMs = Math.max(longestStallMs, nowMs - lastTurnAtMs - stallCheckMs);
  lastTurnAtMs = nowMs;
}, stallCheckMs).unref();

/** Whether the script itself, with its stand-ins, stood still; notes for how long. */
export function stoodStill(record: Record): boolean {
  record.tell(`the script stood still for ${Math.round(longestStallMs)} ms at most`);
  return longestStallMs > maxOwnStallMs;
}

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
