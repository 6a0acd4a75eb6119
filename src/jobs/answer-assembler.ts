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
      /** Fence of the generation that was current when the frame was made. */
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
      /** SHA-256 of the whole answer. */
      readonly digest: string;
      readonly finishReason: string;
    };

/**
 * Puts the frames of one job together to its whole answer. Frames of other jobs, of generations
 * older than one already seen, copies and frames beyond a gap are dropped; after a gap the reader
 * asks for the stream again from `nextOffset`.
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

  /** The answer so far; always a prefix of the whole one. */
  get text(): string {
    return this.#text;
  }

  /** Offset from which to ask for the stream again. */
  get nextOffset(): number {
    return this.#text.length;
  }

  get isComplete(): boolean {
    return this.#finishReason !== undefined;
  }

  /** Undefined until the answer is whole. */
  get finishReason(): string | undefined {
    return this.#finishReason;
  }

  /**
   * Takes a frame and returns the text that it added, or undefined when it was dropped.
   *
   * @throws OrioleError when the end's digest does not match the text: the answer must not be used.
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
