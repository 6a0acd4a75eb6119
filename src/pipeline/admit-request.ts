import type { AdmissionController, AdmissionRequest } from '../admission/index.js';
import type { RequestContext } from './request-context.js';

/** Parts of an admission request that depend on the kind of call. */
export type AdmissionDetails = Pick<
  AdmissionRequest,
  'serviceId' | 'workClass' | 'costTokens' | 'expectedUsd' | 'startByMs'
>;

/**
 * Admits a caller's request and releases its capacity once the response is sent or the caller has
 * disconnected.
 *
 * @throws RequestError with outcome `not_run` when the request is refused.
 * @example
 * ```ts
 * await admitRequest(admission, context, { serviceId, workClass, costTokens: 1, ...rest });
 * ```
 */
export async function admitRequest(
  admission: AdmissionController,
  context: RequestContext,
  details: AdmissionDetails,
): Promise<void> {
  const { caller, deployment, requestId, response, disconnectSignal } = context;
  const request: AdmissionRequest = {
    requestId,
    workspaceId: caller.workspace.id,
    fairWeight: caller.workspace.values.fair_weight,
    limits: deployment.limits(caller.workspace.id),
    ...details,
  };
  const ticket = await admission.admit(request, disconnectSignal);
  response.once('close', () => {
    ticket.end();
  });
  // The caller may have disconnected while the request was queued; then no close event follows.
  if (response.destroyed) ticket.end();
}
