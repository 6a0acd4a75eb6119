import { describe, expect, it } from 'vitest';
import { OperatorScope } from '../../src/admin/index.js';

describe('OperatorScope', () => {
  it('compares complete path components, so that a name prefix does not match', () => {
    const scope = new OperatorScope('prod', 'prod/a');
    expect(scope.coversPath('prod/a/keys/x')).toBe(true);
    expect(scope.coversPath('prod/a')).toBe(true);
    expect(scope.coversPath('prod/ab/keys/x')).toBe(false);
    expect(scope.coversWorkspace('a/w')).toBe(true);
    expect(scope.coversWorkspace('ab/w')).toBe(false);
  });

  it('covers only the workspace of a workspace scope, and nothing with an empty scope', () => {
    const narrow = new OperatorScope('prod', 'prod/a/workspaces/w');
    expect(narrow.coversWorkspace('a/w')).toBe(true);
    expect(narrow.coversWorkspace('a/other')).toBe(false);
    expect(narrow.coversPath('prod/a')).toBe(false);
    expect(new OperatorScope('prod', '').coversWorkspace('a/w')).toBe(false);
  });
});
