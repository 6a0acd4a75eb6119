import { Outcome, RequestError, Step } from '../core/index.js';
import type { Deployment, KeySettings, Section } from '../settings/index.js';
import type { RequestContext } from './request-context.js';
import { Stage } from './stage.js';

/** Verifies bearer keys. */
export abstract class KeyVerifier {
  /** The key's section when `bearer` is its secret; undefined otherwise. */
  abstract verify(
    bearer: string,
    deployment: Deployment,
  ): Promise<Section<KeySettings> | undefined>;
}

/** Finds out which workspace calls, from `Authorization: Bearer`. */
export class AuthenticateStage extends Stage<RequestContext> {
  override readonly step = Step.Authenticate;
  readonly #keys: KeyVerifier;

  constructor(keys: KeyVerifier) {
    super();
    this.#keys = keys;
  }

  override async run(context: RequestContext): Promise<void> {
    const match = /^Bearer (\S+)$/i.exec(context.request.headers.authorization ?? '');
    const key = match?.[1] ? await this.#keys.verify(match[1], context.deployment) : undefined;
    const workspace = key && context.deployment.workspaces.get(workspaceIdOf(key));
    if (!key || !workspace) {
      throw new RequestError('the API key is missing, unknown or bound to no workspace', {
        step: this.step,
        peer: 'caller',
        status: 401,
        code: 'invalid_api_key',
        next: 'Send a valid key as "Authorization: Bearer KEY".',
        outcome: Outcome.NotRun,
      });
    }
    context.caller = { team: key.path.team, workspace };
  }
}

function workspaceIdOf(key: Section<KeySettings>): string {
  return `${key.path.team}/${key.values.workspace}`;
}
