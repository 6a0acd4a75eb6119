import type { DeploymentShape } from './deployments.js';
import { baselines, PolicyName } from './policies.js';
import type { RunSpec } from './run-pool.js';

/** A set of runs that differ in their seed only. */
export interface Scenario {
  readonly name: string;
  readonly spec: Omit<RunSpec, 'seed' | 'deployment'>;
}

/** Time after the warm-up at which a failure domain is lost, and until its replacement. */
export const lossAfterMs = 60_000;
export const replacedAfterMs = 60_000;

/** Loads of the overload series; the last one is the overload. */
export const overloadLoads = [0.7, 0.85, 1, 1.2, 2] as const;

const baseLoad = 0.7;

/** Rate factor of the large workspaces at which the whole load is `load`; small ones stay. */
function bigFactor(shape: DeploymentShape, load: number): number {
  const small = shape.workspaceShares.slice(-2).reduce((sum, share) => sum + share, 0);
  return (load / baseLoad - small) / (1 - small);
}

/** All scenarios of a deployment. */
export function scenariosOf(shape: DeploymentShape): Scenario[] {
  const router = PolicyName.Router;
  const base = { policy: router, load: baseLoad };
  const compared = [router, PolicyName.TwoChoices];
  return [
    ...[router, PolicyName.Oracle, ...baselines].map((policy) => ({
      name: `base ${policy}`,
      spec: { policy, load: baseLoad },
    })),
    { name: 'outliers', spec: { ...base, longRatio: 0.05, longFactor: 20 } },
    ...[...compared, PolicyName.Oracle].flatMap((policy) =>
      [1, 2].map((slowEndpoints) => ({
        name: `slow ${slowEndpoints} ${policy}`,
        spec: { policy, load: baseLoad, knobs: { slowEndpoints } },
      })),
    ),
    ...compared.map((policy) => ({
      name: `loss ${policy}`,
      spec: {
        policy,
        load: 0.6,
        knobs: { domainLostAfterMs: lossAfterMs, replacedAfterMs },
      },
    })),
    ...overloadLoads.map((load) => ({
      name: `overload ${load}`,
      spec: { ...base, bigWorkspacesFactor: bigFactor(shape, load) },
    })),
    ...[false, true].map((restartsOnReclaim) => ({
      name: restartsOnReclaim ? 'reclaim restart' : 'reclaim move',
      spec: {
        ...base,
        restartsOnReclaim,
        knobs: { reclaimEveryMs: 75_000, noticeMs: 30_000 },
      },
    })),
  ];
}
