import { LRUCache } from 'lru-cache';
import { countEvents, laterSent, type Crash } from './crash-events.js';
import type { CrashReport } from './crash-report.js';

/** Parts of prompts that can be told apart neither by the endpoints' crashes nor by answers. */
export interface CrashCause {
  readonly partIds: readonly string[];
  /** Endpoints that crashed under it. */
  readonly crashes: number;
  /** Epoch milliseconds. */
  readonly firstCrashAtMs: number;
}

/** Separate crashes of endpoints, and requests, after which a part counts as their cause. */
const minCrashes = 3;
const minRequests = 2;

/**
 * Ends after which a part is named although another one fits as well, or although answers with it
 * came whole before; and the time since the first of them, in which parts of sound requests are
 * cleared by further answers.
 */
const minUnclearCrashes = 5;
const unclearMs = 2_500;

/** A part that was there at fewer of the crashes in its time is not what endpoints crash under. */
const minExplainedRatio = 1 / 3;

/** Ends that are further back count no more. */
const windowMs = 300_000;

/** Bounds of the memory, as callers choose the ids of parts. */
const maxSuspectParts = 2_048;
const maxAnsweredParts = 16_384;
const maxCrashesOfPart = 16;
const maxCrashes = 1_024;

/** Requests with a part at one endpoint when it crashed. */
interface CrashWithPart extends Crash {
  readonly requestIds: Set<string>;
}

/** A part with enough held against it. */
interface Candidate {
  readonly partId: string;
  /** Parts that each request with this one held too, itself included. */
  readonly group: readonly string[];
  /** Endpoints that crashed under it. */
  readonly crashes: readonly string[];
  readonly firstCrashAtMs: number;
  /** Whether an answer with it came whole at some time. */
  readonly wasAnswered: boolean;
}

/** What is held against a part, by endpoint. */
type PartEvidence = Map<string, CrashWithPart>;

/**
 * Finds the parts of prompts under which endpoints crash. A crash names the parts of all requests that
 * were in progress there, most of them innocent; one endpoint's crash proves nothing. A part is the
 * cause when several endpoints crashed, one after the other and under different requests with it, and
 * no answer with it has come whole since: a part that crashes endpoints lets none come whole, while
 * those of other requests do. Parts that answers came whole on before are suspected last: they may
 * have become poison with new weights, but most of them are bystanders that will be cleared soon.
 *
 * @example
 * ```ts
 * evidence.add(report);
 * evidence.causes(clock.nowMs()).map(({ partIds }) => partIds);
 * ```
 */
export class CrashEvidence {
  readonly #suspects = new LRUCache<string, PartEvidence>({ max: maxSuspectParts });
  /** Time of the last whole answer with a part, in epoch milliseconds. */
  readonly #answeredAtMs = new LRUCache<string, number>({ max: maxAnsweredParts });
  readonly #crashes = new LRUCache<string, Crash>({ max: maxCrashes });
  /** Ends of which the cause is known; they are held against no other part. */
  readonly #explainedCrashes = new LRUCache<string, true>({ max: maxCrashes });

  /** Adds a report of this or another daemon; the same one may come more than once. */
  add({ endpointId, requestId, partIds, sentAtMs, crashedAtMs }: CrashReport): void {
    if (partIds.length === 0 || this.#explainedCrashes.has(endpointId)) return;
    this.#crashes.set(
      endpointId,
      laterSent(this.#crashes.get(endpointId), { sentAtMs, crashedAtMs }),
    );
    for (const partId of partIds) {
      if ((this.#answeredAtMs.get(partId) ?? -Infinity) > crashedAtMs) continue;
      const evidence = this.#suspects.get(partId) ?? new Map<string, CrashWithPart>();
      const known = evidence.get(endpointId);
      const requestIds = new Set([...(known?.requestIds ?? []), requestId]);
      if (known || evidence.size < maxCrashesOfPart)
        evidence.set(endpointId, { ...laterSent(known, { sentAtMs, crashedAtMs }), requestIds });
      this.#suspects.set(partId, evidence);
    }
  }

  /**
   * Records an answer that came whole, which clears the parts of its prompt of the crashes before it.
   *
   * @returns the parts that were under suspicion here.
   */
  recordAnswer(partIds: readonly string[], answeredAtMs: number): string[] {
    return partIds.filter((partId) => {
      const knownAtMs = this.#answeredAtMs.get(partId) ?? -Infinity;
      this.#answeredAtMs.set(partId, Math.max(knownAtMs, answeredAtMs));
      const evidence = this.#suspects.get(partId);
      if (!evidence) return false;
      for (const [endpointId, { crashedAtMs }] of evidence) {
        if (crashedAtMs < answeredAtMs) evidence.delete(endpointId);
      }
      if (evidence.size === 0) this.#suspects.delete(partId);
      return true;
    });
  }

  /** Whether anything is held against one of the parts. */
  isSuspected(partIds: readonly string[]): boolean {
    return partIds.some((partId) => this.#suspects.has(partId));
  }

  /** Whether the cause of a crash is known. */
  isExplained(endpointId: string): boolean {
    return this.#explainedCrashes.has(endpointId);
  }

  /** Whether anything is held against any part. */
  get hasSuspects(): boolean {
    return this.#suspects.size > 0;
  }

  /** Takes a crash whose cause is known off the evidence, also for reports that are still to come. */
  explain(endpointId: string): void {
    this.#explainedCrashes.set(endpointId, true);
    this.#crashes.delete(endpointId);
    for (const [partId, evidence] of [...this.#suspects.entries()]) {
      evidence.delete(endpointId);
      if (evidence.size === 0) this.#suspects.delete(partId);
    }
  }

  /**
   * Names the causes that the evidence shows now, and takes the crashes that each explains off the
   * evidence against other parts.
   *
   * @param completeSinceMs - time since which the reports of all daemons arrive, in epoch milliseconds.
   *   Of crashes before it the cause may be missing while bystanders are known.
   */
  causes(nowMs: number, completeSinceMs: number): CrashCause[] {
    this.#forgetBefore(nowMs - windowMs);
    const causes: CrashCause[] = [];
    for (;;) {
      const found = this.#nextCauses(nowMs, completeSinceMs);
      if (found.length === 0) return causes;
      causes.push(...found);
    }
  }

  /** The next cause, or those that fit equally well and were not told apart in time. */
  #nextCauses(nowMs: number, completeSinceMs: number): CrashCause[] {
    const candidates = [...this.#suspects.keys()]
      .filter((partId) => this.#isCandidate(partId))
      .map((partId) => this.#candidate(partId))
      // The most specific explanation first, then the one that explains most.
      .sort((a, b) => b.group.length - a.group.length || b.crashes.length - a.crashes.length);
    const unanswered = candidates.filter(({ wasAnswered }) => !wasAnswered);
    const clear = unanswered
      .filter(({ partId }) => this.#eventsSince(partId, completeSinceMs) >= minCrashes)
      .find((candidate) => rivalsOf(candidate, unanswered).length === 0);
    if (clear) return this.#name([clear]);
    const due = candidates.filter((candidate) => isOverdue(candidate, nowMs));
    const found = due.find(({ wasAnswered }) => !wasAnswered);
    if (found) return this.#name([found, ...rivalsOf(found, unanswered)]);
    const answered = due.find(
      (candidate) => !unanswered.some((other) => explains(other, candidate)),
    );
    return answered ? this.#name([answered]) : [];
  }

  /** Takes the crashes that the causes explain off the evidence. */
  #name(causes: readonly Candidate[]): CrashCause[] {
    for (const { crashes } of causes) for (const endpointId of crashes) this.explain(endpointId);
    return causes.map(({ group, crashes, firstCrashAtMs }) => {
      return { partIds: group.toSorted(), crashes: crashes.length, firstCrashAtMs };
    });
  }

  #candidate(partId: string): Candidate {
    const evidence = [...(this.#suspects.peek(partId)?.values() ?? [])];
    return {
      partId,
      group: this.#companions(partId),
      crashes: this.#crashesOf(partId),
      firstCrashAtMs: Math.min(...evidence.map(({ crashedAtMs }) => crashedAtMs)),
      wasAnswered: this.#answeredAtMs.has(partId),
    };
  }

  #isCandidate(partId: string): boolean {
    const crashes = [...(this.#suspects.peek(partId)?.values() ?? [])];
    const events = countEvents(crashes);
    if (events < minCrashes || this.#requests(partId).size < minRequests) return false;
    const firstAtMs = Math.min(...crashes.map(({ crashedAtMs }) => crashedAtMs));
    const allEnds = [...this.#crashes.values()].filter(
      ({ crashedAtMs }) => crashedAtMs >= firstAtMs,
    );
    return events >= countEvents(allEnds) * minExplainedRatio;
  }

  /** Separate crashes under a part since `sinceMs`, in epoch milliseconds. */
  #eventsSince(partId: string, sinceMs: number): number {
    const crashes = [...(this.#suspects.peek(partId)?.values() ?? [])];
    return countEvents(crashes.filter(({ crashedAtMs }) => crashedAtMs >= sinceMs));
  }

  /** Parts that each request with this one held too, itself included. */
  #companions(partId: string): string[] {
    const requests = this.#requests(partId);
    return [...this.#suspects.keys()].filter((other) => {
      const others = this.#requests(other);
      return [...requests].every((requestId) => others.has(requestId));
    });
  }

  /** Endpoints that crashed while a request with the part was in progress. */
  #crashesOf(partId: string): string[] {
    return [...(this.#suspects.peek(partId)?.keys() ?? [])];
  }

  #requests(partId: string): Set<string> {
    const crashes = [...(this.#suspects.peek(partId)?.values() ?? [])];
    return new Set(crashes.flatMap(({ requestIds }) => [...requestIds]));
  }

  #forgetBefore(sinceMs: number): void {
    for (const [endpointId, { crashedAtMs }] of [...this.#crashes.entries()]) {
      if (crashedAtMs < sinceMs) this.#crashes.delete(endpointId);
    }
    for (const [partId, evidence] of [...this.#suspects.entries()]) {
      for (const [endpointId, { crashedAtMs }] of evidence) {
        if (crashedAtMs < sinceMs) evidence.delete(endpointId);
      }
      if (evidence.size === 0) this.#suspects.delete(partId);
    }
  }
}

/** Other parts at all crashes of a candidate, in other requests. */
function rivalsOf({ group, crashes }: Candidate, candidates: readonly Candidate[]): Candidate[] {
  return candidates
    .filter(({ partId }) => !group.includes(partId))
    .filter((rival) => crashes.every((endpointId) => rival.crashes.includes(endpointId)));
}

/** Whether a sound part would have been cleared by now. */
function isOverdue({ crashes, firstCrashAtMs }: Candidate, nowMs: number): boolean {
  return crashes.length >= minUnclearCrashes && nowMs - firstCrashAtMs >= unclearMs;
}

/** Whether a part was there at most of the crashes of another one. */
function explains({ crashes }: Candidate, other: Candidate): boolean {
  return (
    other.crashes.filter((endpointId) => crashes.includes(endpointId)).length * 2 >
    other.crashes.length
  );
}
