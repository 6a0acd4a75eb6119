import { WorkClass } from '../core/index.js';
import type { Daemon } from '../daemon/index.js';
import { GenerationEventKind } from '../engine/index.js';
import type { EndpointView } from '../fleet/index.js';
import { AttemptEnd } from '../pipeline/index.js';

/** A short question; its answer is a function of the text. */
export const shortQuestion = [{ role: 'user', content: 'How many posts? tokens=5' }] as const;

/**
 * Sends one request through a daemon's routing with every other endpoint excluded.
 *
 * @returns the answer; undefined when the router does not choose the endpoint.
 */
export async function askEndpoint(
  daemon: Daemon,
  view: EndpointView,
  requestId: string,
): Promise<string | undefined> {
  const { registry, selector } = daemon.components;
  const others = registry.views(view.serviceId).filter(({ id }) => id !== view.id);
  const model = view.loadedModels[0] ?? '';
  const workClass = WorkClass.Short;
  const lease = selector.tryLease({
    requestId,
    serviceId: view.serviceId,
    workspaceId: 'tejidos/counter',
    model,
    maxTokens: 5,
    expectedOutputTokens: 5,
    workClass,
    deadlineAtMs: Date.now() + 10_000,
    excludedIds: new Set(others.map(({ id }) => id)),
    prefix: [],
    promptTokens: 10,
    isRepeatable: true,
  });
  if (!lease) return undefined;
  let text = '';
  await lease.client.generate(
    {
      requestId,
      model,
      messages: shortQuestion,
      resumeText: '',
      maxTokens: 5,
      workClass,
      passThrough: {},
    },
    (event) => {
      if (event.kind === GenerationEventKind.Token) text += event.text;
    },
    AbortSignal.timeout(10_000),
  );
  lease.end(AttemptEnd.Completed);
  return text;
}
