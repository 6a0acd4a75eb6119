import { ReadTurns } from '../core/read-turns.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';

/** A message that has waited this often slows the process; fewer waits follow a stall of it. */
const reportedWaits = 16;

/** Receivers of what {@link reportedReadTurns} tells. */
export interface ReadTurnsReport {
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** The turns of a gateway: counted, and logged where one message waits again and again. */
export function reportedReadTurns({ events, metrics }: ReadTurnsReport): ReadTurns {
  const turns: ReadTurns = new ReadTurns({
    onWait: (share) => {
      metrics.count('gateway_reads_deferred', 1);
      if (share.waits !== reportedWaits) return;
      events.warn(EventId.ConnectionSlowed, 'connection delivers too many chunks at once', {
        peer: share.peer,
        waitingConnections: turns.waiting,
      });
    },
  });
  return turns;
}
