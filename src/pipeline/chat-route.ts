import { CallerRoute, type CallerRequest } from './caller-server.js';
import { ChatContext } from './request-context.js';
import type { Pipeline } from './stage.js';

/** `POST /v1/chat/completions`: runs a chat request through the pipeline. */
export class ChatRoute extends CallerRoute {
  readonly #pipeline: Pipeline<ChatContext>;

  constructor(pipeline: Pipeline<ChatContext>) {
    super();
    this.#pipeline = pipeline;
  }

  override matches(method: string, path: string): boolean {
    return method === 'POST' && path === '/v1/chat/completions';
  }

  override handle(incoming: CallerRequest): Promise<void> {
    return this.#pipeline.run(new ChatContext(incoming));
  }
}
