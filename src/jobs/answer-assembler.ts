import { OrioleError, Step, sha256Hex } from '../core/index.js';
import type { Fence } from '../state/index.js';

/** Kind of a {@link JobFrame}. */
export enum JobFrameKind {
  Text = 'text',
  End = 'end',
}

/** One frame of a job's stream. */
export type JobFrame =
  | {
      readonly kind: JobFrameKind.Text;
      readonly jobId: string;
      /** Fence of the generation that was current when the frame was created. */
      readonly generation: Fence;
      /** Characters (UTF-16 units) of the answer before this frame. */
      readonly offset: number;
      readonly text: string;
    }
  | {
      readonly kind: JobFrameKind.End;
      readonly jobId: string;
      readonly generation: Fence;
      readonly lengthChars: number;
      /** SHA-256 of the complete answer. */
      readonly digest: string;
      readonly finishReason: string;
    };

/**
 * Assembles the answer of one job from its frames. Drops frames of other jobs, frames of a
 * generation older than the latest accepted one, duplicates, and frames after a gap. After a gap
 * the reader requests the stream again from `nextOffset`.
 *
 * @example
 * ```ts
 * const assembler = new AnswerAssembler(jobId);
 * for await (const frame of frames) assembler.accept(frame);
 * console.log(assembler.isComplete, assembler.text);
 * ```
 */
export class AnswerAssembler {
  readonly #jobId: string;
  #text = '';
  #generation: Fence = 0;
  #finishReason: string | undefined;

  constructor(jobId: string) {
    this.#jobId = jobId;
  }

  /** The text received so far; always a prefix of the complete answer. */
  get text(): string {
    return this.#text;
  }

  /** Offset in characters (UTF-16 units) from which to request the stream again. */
  get nextOffset(): number {
    return this.#text.length;
  }

  get isComplete(): boolean {
    return this.#finishReason !== undefined;
  }

  /** Undefined until the answer is complete. */
  get finishReason(): string | undefined {
    return this.#finishReason;
  }

  /**
   * Accepts a frame and returns the text that it adds, or undefined if it adds none.
   *
   * @throws OrioleError if the digest of the end frame does not match the text. The answer must not
   * be used then.
   */
  accept(frame: JobFrame): string | undefined {
    if (frame.jobId !== this.#jobId || this.isComplete) return undefined;
    if (frame.generation < this.#generation) return undefined;
    if (frame.kind === JobFrameKind.End) {
      this.#acceptEnd(frame);
      return undefined;
    }
    const overlap = this.#text.length - frame.offset;
    if (overlap < 0 || overlap >= frame.text.length) return undefined;
    this.#generation = frame.generation;
    const added = frame.text.slice(overlap);
    this.#text += added;
    return added;
  }

  #acceptEnd(frame: Extract<JobFrame, { kind: JobFrameKind.End }>): void {
    if (frame.lengthChars !== this.#text.length) return;
    if (frame.digest !== sha256Hex(this.#text)) {
      throw new OrioleError('the answer does not match its digest; read the job again', {
        step: Step.Job,
        peer: this.#jobId,
      });
    }
    this.#generation = frame.generation;
    this.#finishReason = frame.finishReason;
  }
}
