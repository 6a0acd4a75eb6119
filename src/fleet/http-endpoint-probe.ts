import { Client } from 'undici';
import { z } from 'zod';
import { OrioleError, Step, type Clock } from '../core/index.js';
import { maxControlResponseBytes, readBounded } from '../core/response-body.js';
import { sendRequest } from '../core/send-request.js';
import { EndpointProbe, type ProbeResponse, type ProbeTarget } from './stall-detector.js';

const healthSchema = z.looseObject({ startedAtMs: z.number().nonnegative().optional() });

/**
 * {@link EndpointProbe} by `GET /health`. Any answer with a status of HTTP counts: 503 means that
 * the endpoint is draining, and a body `{"startedAtMs": ...}` gives the incarnation.
 *
 * @example
 * ```ts
 * const probe = new HttpEndpointProbe(new SystemClock());
 * ```
 */
export class HttpEndpointProbe extends EndpointProbe {
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override async probe({ baseUrl }: ProbeTarget, deadlineAtMs: number): Promise<ProbeResponse> {
    const { origin } = new URL(baseUrl);
    const client = new Client(origin);
    const timeoutMs = Math.max(1, Math.ceil(deadlineAtMs - this.#clock.nowMs()));
    try {
      const { statusCode, body } = await sendRequest(`${origin}/health`, {
        dispatcher: client,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = (await readBounded(body, maxControlResponseBytes)).toString();
      return { startedAtMs: parseStartedAtMs(text), isDraining: statusCode === 503 };
    } catch (error) {
      throw new OrioleError('the endpoint did not answer a health probe', {
        step: Step.Fleet,
        peer: origin,
        cause: error,
      });
    } finally {
      await client.destroy();
    }
  }
}

function parseStartedAtMs(text: string): number | undefined {
  try {
    const health = healthSchema.safeParse(JSON.parse(text));
    return health.success ? health.data.startedAtMs : undefined;
  } catch {
    // Engines may answer in plain text; the probe only needs an answer of any kind.
    return undefined;
  }
}
