import { z } from 'zod';
import type { Clock } from '../core/index.js';
import type { LogService } from '../log/index.js';
import { checkSection, Deployment, SettingsPath, type SectionValues } from '../settings/index.js';
import { decodeEnvelope, EntryKind } from '../state/index.js';

const changeSchema = z.object({
  kind: z.literal(EntryKind.SettingsChange),
  edits: z.array(
    z.object({ path: z.string(), values: z.record(z.string(), z.string()).nullable() }),
  ),
});

/** Follows the configuration stream and keeps the deployment in force. */
export class ConfigSource {
  readonly #log: LogService;
  readonly #stream: string;
  readonly #clock: Clock;
  readonly #sections = new Map<string, SectionValues>();
  #nextOffset = 0;
  #deployment = new Deployment();

  constructor(log: LogService, stream: string, clock: Clock) {
    this.#log = log;
    this.#stream = stream;
    this.#clock = clock;
  }

  get deployment(): Deployment {
    return this.#deployment;
  }

  /** Reads once up to the end of the stream. */
  async catchUp(): Promise<void> {
    for (;;) {
      const page = await this.#readPage(0);
      if (this.#nextOffset >= page.nextOffset) return;
    }
  }

  /** Follows the stream until `signal` is aborted. */
  async follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.#readPage(10_000, signal);
      } catch {
        await this.#clock.sleepUntil(this.#clock.nowMs() + 500, signal);
      }
    }
  }

  async #readPage(waitMs: number, signal?: AbortSignal): Promise<{ nextOffset: number }> {
    const page = await this.#log.read(this.#stream, this.#nextOffset, {
      limit: 1_000,
      waitMs,
      ...(signal ? { signal } : {}),
    });
    for (const record of page.records) {
      for (const entry of decodeEnvelope(record.data)?.entries ?? []) this.#apply(entry);
      this.#nextOffset = record.offset + 1;
    }
    if (page.records.length > 0) this.#deployment = Deployment.from(this.#sections);
    return page;
  }

  #apply(entry: unknown): void {
    const change = changeSchema.safeParse(entry);
    for (const edit of change.data?.edits ?? []) {
      const path = SettingsPath.tryParse(edit.path);
      if (!path) continue;
      if (edit.values === null) this.#sections.delete(edit.path);
      else if (checkSection(path, edit.values).length === 0) {
        this.#sections.set(edit.path, edit.values);
      }
    }
  }
}
