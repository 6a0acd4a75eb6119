import type { Socket } from 'node:net';
import type { KeyedRecord } from '../log/keyed-log.js';
import type { KeyedReplica } from '../log/keyed-replica.js';

/** Pages with larger values may be on their way for seconds, over a link that many readers share. */
const minWatchedBytes = 4_096;

/**
 * Largest part of a value's size that the newer one may have: a transfer that is broken off for one
 * as large would begin anew with each change and never end.
 */
const maxNewerShare = 0.25;

/**
 * Closes connections on which a large value is being sent once a newer value of its key is known, so
 * that the readers ask again and a small change does not wait behind it, but for what the system's
 * send buffer holds. Whether the reader has the page is known by its next request only: a connection
 * that waits for it may be closed too, which costs the reader a new one.
 */
export class PageTransfers {
  /** Functions that end the watch of the page sent last on a connection. */
  readonly #cancels = new Map<Socket, () => void>();

  /** Watches a page that is being sent. */
  watch(replica: KeyedReplica, records: readonly KeyedRecord[], socket: Socket): void {
    this.end(socket);
    const large = records.filter(({ value }) => (value?.length ?? 0) >= minWatchedBytes);
    if (large.length === 0 || socket.destroyed) return;
    const cancelChange = replica.onChange(() => {
      if (!large.some((record) => hasSmallSuccessor(replica, record))) return;
      this.end(socket);
      socket.destroy();
    });
    const onClose = (): void => {
      this.end(socket);
    };
    socket.once('close', onClose);
    this.#cancels.set(socket, () => {
      cancelChange();
      socket.off('close', onClose);
    });
  }

  /** Ends the watch of a connection: its reader has sent another request, or is gone. */
  end(socket: Socket): void {
    this.#cancels.get(socket)?.();
    this.#cancels.delete(socket);
  }
}

function hasSmallSuccessor(replica: KeyedReplica, { key, value, offset }: KeyedRecord): boolean {
  const newest = replica.get(key);
  if (newest?.offset === offset) return false;
  return (newest?.value?.length ?? 0) <= maxNewerShare * (value?.length ?? 0);
}
