/**
 * Largest sum of the bodies of open requests, in bytes: a fifth of the smallest VM (250 MB), as they are
 * outside of the heap and its limit, and a body that has just come is held twice for a moment.
 */
const maxBufferedBytes = 50_000_000;

/** Larger bodies leave a quarter of the sum to smaller ones, in bytes. */
const maxSmallBodyBytes = 65_536;
const largeBodiesShare = 0.75;

/** The part of {@link BodyMemory} that one request holds. */
export interface BodyHold {
  /** Adds bytes that have come. @returns false when they do not fit; then none are added. */
  add(bytes: number): boolean;
  /** Gives back all bytes; later calls have no effect. */
  release(): void;
}

/**
 * Counts the bodies of open requests, which are kept for further attempts until the request ends.
 * Counts what has come and not what is announced: a caller that announces a large body and sends
 * nothing costs no other its place.
 */
export class BodyMemory {
  #usedBytes = 0;

  /** Bytes of bodies that are held. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Whether a body of this size, in bytes, fits beside those that are held. */
  hasRoomFor(bodyBytes: number): boolean {
    return this.#usedBytes + bodyBytes <= maxSumFor(bodyBytes);
  }

  /** Begins to count a body. */
  hold(): BodyHold {
    let heldBytes = 0;
    let isReleased = false;
    return {
      add: (bytes) => {
        if (isReleased || this.#usedBytes + bytes > maxSumFor(heldBytes + bytes)) return false;
        heldBytes += bytes;
        this.#usedBytes += bytes;
        return true;
      },
      release: () => {
        isReleased = true;
        this.#usedBytes -= heldBytes;
        heldBytes = 0;
      },
    };
  }
}

function maxSumFor(bodyBytes: number): number {
  return bodyBytes > maxSmallBodyBytes ? largeBodiesShare * maxBufferedBytes : maxBufferedBytes;
}
