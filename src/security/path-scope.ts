/**
 * True when `scope` covers `path`: equal, or a prefix that ends at a `/`. An empty scope covers
 * nothing, so that a key without a scope has no rights.
 *
 * @param scope - path prefix such as `prod/tejidos`.
 * @param path - settings path or prefix.
 * @example
 * ```ts
 * scopeCovers('prod/a', 'prod/a/limits/w'); // true
 * scopeCovers('prod/a', 'prod/ab/limits/w'); // false
 * ```
 */
export function scopeCovers(scope: string, path: string): boolean {
  if (scope === '') return false;
  return path === scope || path.startsWith(scope.endsWith('/') ? scope : `${scope}/`);
}
