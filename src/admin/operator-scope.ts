import { AdminQuery, type QueryAnswer } from '../admin-api/index.js';
import { SectionKind } from '../settings/index.js';
import { isInScope } from '../state/index.js';

/**
 * What an operator's key may see and change: the subtree of settings below its scope, and the work
 * of the workspaces in it.
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

  /** True when the settings path is in the scope. */
  coversPath(path: string): boolean {
    return isInScope(this.#scope, path);
  }

  /** True when the workspace, as `team/name`, is in the scope. */
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
  // A daemon's own state names no team, so that every operator may see it.
  [AdminQuery.Status]: (_scope, answer) => answer,
  [AdminQuery.Endpoints]: (scope, answer) => answer.filter(({ path }) => scope.coversPath(path)),
  // The path was checked before the drain.
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
