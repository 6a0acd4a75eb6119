import { z } from 'zod';

/** How far a rollout has come. */
export enum RolloutPhase {
  /** No endpoint of the version is known. */
  Waiting = 'waiting',
  /** A small share goes to the version, without at-most-once requests. */
  Canary = 'canary',
  /** A larger share, within the bound on all requests. */
  Ramp = 'ramp',
  /** Everything goes to the version but a control share of idempotent requests. */
  Shift = 'shift',
  /** Everything goes to the version; what runs at old endpoints ends. */
  Drain = 'drain',
  /** Final. */
  Succeeded = 'succeeded',
  /** Final; the version gets no more requests. */
  RolledBack = 'rolled_back',
}

/** Versions that a state names, for each of its lists. */
const maxVersions = 32;

const maxNameChars = 200;

const name = z.string().min(1).max(maxNameChars);

/** Version of an endpoint; empty for one that states none. */
const version = z.string().max(maxNameChars);

export const rolloutStateSchema = z.object({
  serviceName: name,
  to: name,
  /** Increases with each state of the service, over all its orders. */
  revision: z.int().nonnegative(),
  phase: z.enum(RolloutPhase),
  /** Share of the requests that go to the version. */
  share: z.number().min(0).max(1),
  /** Epoch milliseconds, as of the order. */
  orderedAtMs: z.number(),
  deadlineAtMs: z.number(),
  phaseSinceMs: z.number(),
  /** Time from which requests went to the version; 0 before. */
  exposedSinceMs: z.number(),
  /** Versions that the order replaces. */
  from: z.array(version).max(maxVersions),
  /** Versions of the service that were rolled back. */
  rolledBack: z.array(version).max(maxVersions),
  /** Why the phase was entered, for operators. */
  reason: z.string().max(500),
});

/** State of a service's last rollout, as the holder of the duties stores it. */
export type RolloutState = Readonly<z.output<typeof rolloutStateSchema>>;

/** What the platform is told of a rollout. */
export enum RolloutOutcome {
  Running = 'running',
  Succeeded = 'succeeded',
  RolledBack = 'rolled_back',
}

/** Status of a rollout as it is written for the platform. */
export interface RolloutStatus {
  readonly serviceName: string;
  readonly to: string;
  readonly outcome: RolloutOutcome;
}

/** Whether nothing changes a state but another order. */
export function isFinal({ phase }: Pick<RolloutState, 'phase'>): boolean {
  return phase === RolloutPhase.Succeeded || phase === RolloutPhase.RolledBack;
}

/** Whether the version serves all requests that need no comparison. */
export function isShifted({ phase }: Pick<RolloutState, 'phase'>): boolean {
  return (
    phase === RolloutPhase.Shift || phase === RolloutPhase.Drain || phase === RolloutPhase.Succeeded
  );
}

/** The status that a state amounts to. */
export function statusOf({ serviceName, to, phase }: RolloutState): RolloutStatus {
  const outcomes: Partial<Record<RolloutPhase, RolloutOutcome>> = {
    [RolloutPhase.Succeeded]: RolloutOutcome.Succeeded,
    [RolloutPhase.RolledBack]: RolloutOutcome.RolledBack,
  };
  return { serviceName, to, outcome: outcomes[phase] ?? RolloutOutcome.Running };
}

/** A list of versions with one more, without repetition; the oldest are dropped beyond a bound. */
export function withVersion(versions: readonly string[], added: string): string[] {
  return [...versions.filter((known) => known !== added), added].slice(-maxVersions);
}
