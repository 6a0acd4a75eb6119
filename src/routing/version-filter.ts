import type { EndpointView } from '../fleet/index.js';
import { RouteFilter } from './route-filter.js';
import type { RouteRequest } from './route-request.js';

/** Excludes endpoints whose version must not serve a request. */
export class VersionFilter extends RouteFilter {
  override readonly reason = 'another version serves the request';

  override admits(view: EndpointView, { versions }: RouteRequest): boolean {
    return versions?.admits(view) ?? true;
  }
}

/** Prefers endpoints of the version that a request was assigned to. */
export class VersionPreferenceFilter extends RouteFilter {
  override readonly reason = 'not the version that the request was assigned to';
  override readonly isPreference = true;

  override admits(view: EndpointView, { versions }: RouteRequest): boolean {
    return versions?.prefers(view) ?? true;
  }
}
