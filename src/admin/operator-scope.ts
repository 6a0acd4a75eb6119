import { AdminQuery, type QueryAnswer } from '../admin-api/index.js';
import { SectionKind } from '../settings/index.js';
import { isInScope } from '../state/index.js';

/**
 * Access rights of an operator's key: it may read and change the settings below its scope, and the
 * work of the workspaces in it.
 *
 * @example
 * ```ts
 * new OperatorScope('prod', 'prod/tejidos').coversPath('prod/haneul/limits/planner'); // false
 * ```
 */
export class OperatorScope {
  readonly #deployment: string;
  readonly #scope: string;

  /**
   * @param deployment - first part of each settings path.
   * @param scope - path prefix of the key; empty for a key without rights.
   */
  constructor(deployment: string, scope: string) {
    this.#deployment = deployment;
    this.#scope = scope;
  }

  /** Whether the settings path is in the scope. */
  coversPath(path: string): boolean {
    return isInScope(this.#scope, path);
  }

  /** Whether the workspace, given as `team/name`, is in the scope. */
  coversWorkspace(workspaceId: string): boolean {
    const [team = '', name = ''] = workspaceId.split('/');
    return this.coversPath(`${this.#deployment}/${team}/${SectionKind.Workspaces}/${name}`);
  }

  /** Removes everything outside the scope from one daemon's answer. */
  restrict<Q extends AdminQuery>(query: Q, answer: QueryAnswer<Q>): QueryAnswer<Q> {
    return restrictions[query](this, answer);
  }
}

type Restriction<Q extends AdminQuery> = (
  scope: OperatorScope,
  answer: QueryAnswer<Q>,
) => QueryAnswer<Q>;

const restrictions: { readonly [Q in AdminQuery]: Restriction<Q> } = {
  [AdminQuery.SettingsInForce]: (scope, answer) => ({
    ...answer,
    sections: answer.sections.filter(({ path }) => scope.coversPath(path)),
  }),
  // The status of a daemon names no team, so every operator may see it.
  [AdminQuery.Status]: (_scope, answer) => answer,
  [AdminQuery.Endpoints]: (scope, answer) => answer.filter(({ path }) => scope.coversPath(path)),
  // The route checks the path before the drain.
  [AdminQuery.Drain]: (_scope, answer) => answer,
  [AdminQuery.Jobs]: (scope, answer) =>
    answer.filter(({ workspaceId }) => scope.coversWorkspace(workspaceId)),
  [AdminQuery.Explain]: (scope, answer) =>
    answer && scope.coversWorkspace(answer.workspaceId) ? answer : null,
  [AdminQuery.Burn]: (scope, answer) => ({
    ...answer,
    series: answer.series.filter(({ workspaceId }) => scope.coversWorkspace(workspaceId)),
  }),
};
