import { Outcome, RequestError, Step } from '../core/index.js';
import { KeyVerifierBusyError, type KeyVerifier, type VerifiedKey } from '../security/index.js';
import type { RequestContext } from './request-context.js';
import { Stage } from './stage.js';

/** Identifies the calling workspace by the API key in `Authorization: Bearer`. */
export class AuthenticateStage extends Stage<RequestContext> {
  override readonly step = Step.Authenticate;
  readonly #keys: KeyVerifier;

  constructor(keys: KeyVerifier) {
    super();
    this.#keys = keys;
  }

  override async run(context: RequestContext): Promise<void> {
    const key = await this.#verify(context);
    const workspace = context.deployment.workspaces.get(key?.workspaceId ?? '');
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
    context.caller = { team: key.team, workspace };
  }

  async #verify(context: RequestContext): Promise<VerifiedKey | undefined> {
    try {
      return await this.#keys.verifyHeader(context.request.headers.authorization);
    } catch (error) {
      if (!(error instanceof KeyVerifierBusyError)) throw error;
      throw new RequestError(error.message, {
        step: this.step,
        peer: 'caller',
        status: 503,
        code: 'key_check_busy',
        next: 'Send the request again in a second.',
        outcome: Outcome.NotRun,
        retryAtMs: context.receivedAtMs + 1_000,
        cause: error,
      });
    }
  }
}
