import type { AuthenticateStage } from './authenticate-stage.js';
import { CallerRoute, type CallerRequest } from './caller-server.js';
import { RequestContext } from './request-context.js';

/** `GET /v1/models`: lists the models that the caller's workspace may use. */
export class ModelsRoute extends CallerRoute {
  readonly #authenticate: AuthenticateStage;

  constructor(authenticate: AuthenticateStage) {
    super();
    this.#authenticate = authenticate;
  }

  override matches(method: string, path: string): boolean {
    return method === 'GET' && path === '/v1/models';
  }

  override async handle(incoming: CallerRequest): Promise<void> {
    const context = new RequestContext(incoming);
    await this.#authenticate.run(context);
    const { team, workspace } = context.caller;
    const models = [...incoming.deployment.services.values()]
      .filter(({ path }) => path.team === team && workspace.values.services.includes(path.name))
      .flatMap(({ values, path }) =>
        values.models.map((id) => ({ id, object: 'model', created: 0, owned_by: path.name })),
      );
    incoming.response.writeHead(200, { 'content-type': 'application/json' });
    incoming.response.end(JSON.stringify({ object: 'list', data: models }));
  }
}
