import { EndpointState, type EndpointView } from '../fleet/index.js';

/** Share of the batch slots that may be in use; the rest takes bursts until a new VM has loaded. */
const usedShare = 0.6;

/**
 * Endpoints needed for the load that the endpoints of a service in a region report. A daemon gets
 * the reports of its subset only, whose mean stands for the others.
 */
export function endpointsNeeded(views: readonly EndpointView[]): number {
  const present = views.filter(({ state }) => state !== EndpointState.Leaving);
  const reported = present.flatMap(({ report, batchSlots }) =>
    report ? [{ busy: report.runningRequests + report.queuedRequests, batchSlots }] : [],
  );
  const slots = reported.reduce((sum, { batchSlots }) => sum + batchSlots, 0);
  if (slots === 0) return present.length;
  const busy = reported.reduce((sum, report) => sum + report.busy, 0);
  return Math.ceil(((busy / slots) * present.length) / usedShare);
}
