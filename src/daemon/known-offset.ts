import { z } from 'zod';
import type { Clock } from '../core/index.js';
import type { PeerCaller, PeerMethodRegistry } from '../rpc/index.js';
import type { StreamReplica } from '../state/index.js';

const method = 'config.known_offset';
const timeoutMs = 1_000;
const responseSchema = z.object({ offset: z.number().int().nonnegative() });

/** Registers the method with which starting daemons read this daemon's known offset. */
export function registerKnownOffset(methods: PeerMethodRegistry, replica: StreamReplica): void {
  methods.register(method, () => Promise.resolve({ offset: replica.knownOffset }));
}

/**
 * Fetches the highest offset of the configuration stream that the peers know. Without this bound, a
 * stale read of the log could make a restarted daemon ready with older settings than before.
 *
 * @returns the highest offset; 0 when no peer answered.
 */
export async function fetchKnownOffset(
  peers: PeerCaller,
  urls: readonly string[],
  clock: Clock,
): Promise<number> {
  const deadlineAtMs = clock.nowMs() + timeoutMs;
  const offsets = await Promise.all(
    urls.map((url) =>
      peers.call(url, method, {}, { deadlineAtMs }).then(
        (answer) => responseSchema.parse(answer).offset,
        () => 0,
      ),
    ),
  );
  return Math.max(0, ...offsets);
}
