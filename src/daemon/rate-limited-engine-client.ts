import { TrafficClass } from '../capacity/index.js';
import {
  EngineClient,
  GenerationEventKind,
  type GenerationEvent,
  type GenerationRequest,
  type LoadReport,
} from '../engine/index.js';
import { LinkDirection, type RegionLinks } from './region-links.js';

/**
 * {@link EngineClient} of an endpoint in another region. Requests and generated text wait for the
 * rate limit of the link; reading pauses meanwhile, which applies back-pressure to the engine.
 */
export class RateLimitedEngineClient extends EngineClient {
  readonly #client: EngineClient;
  readonly #region: string;
  readonly #links: RegionLinks;

  constructor(client: EngineClient, region: string, links: RegionLinks) {
    super();
    this.#client = client;
    this.#region = region;
    this.#links = links;
  }

  override async generate(
    request: GenerationRequest,
    onEvent: (event: GenerationEvent) => void | Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    const bytes = Buffer.byteLength(JSON.stringify(request));
    await this.#links.acquire(
      this.#region,
      LinkDirection.Out,
      TrafficClass.Requests,
      bytes,
      signal,
    );
    await this.#client.generate(request, (event) => this.#receive(event, onEvent, signal), signal);
  }

  override cancel(requestId: string): Promise<void> {
    return this.#client.cancel(requestId);
  }

  override load(signal: AbortSignal): Promise<LoadReport> {
    return this.#client.load(signal);
  }

  #receive(
    event: GenerationEvent,
    onEvent: (event: GenerationEvent) => void | Promise<void>,
    signal: AbortSignal,
  ): void | Promise<void> {
    if (event.kind !== GenerationEventKind.Token) return onEvent(event);
    const bytes = event.chunkJson.length;
    const transfer = [this.#region, LinkDirection.In, TrafficClass.StreamText, bytes] as const;
    // Within the limit no promise is created: one per token would cost more than the token.
    if (this.#links.take(...transfer)) return onEvent(event);
    return this.#links.acquire(...transfer, signal).then(() => onEvent(event));
  }
}
