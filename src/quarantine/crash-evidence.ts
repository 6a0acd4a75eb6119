import { LRUCache } from 'lru-cache';
import { CrashCandidate } from './crash-candidate.js';
import { countEvents, laterSent, type Crash } from './crash-events.js';
import type { CrashReport } from './crash-report.js';

/** Parts of prompts that can be told apart neither by the endpoints' crashes nor by answers. */
export interface CrashCause {
  readonly partIds: readonly string[];
  /** Endpoints that crashed under it. */
  readonly crashes: number;
  /** These endpoints, where they are known. */
  readonly endpointIds?: readonly string[] | undefined;
  /** Whether the reports of all daemons had arrived, so that these crashes had no other cause. */
  readonly isByAllReports?: boolean | undefined;
  /** Epoch milliseconds. */
  readonly firstCrashAtMs: number;
}

/** Separate crashes of endpoints, and requests, after which a part counts as their cause. */
const minCrashes = 3;
const minRequests = 2;

/** A part that was there at fewer of the crashes in its time is not what endpoints crash under. */
const minExplainedRatio = 1 / 3;

/** Crashes that are further back count no more. */
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
 * const causes = evidence.causes(clock.nowMs(), completeSinceMs, () => true);
 * ```
 */
export class CrashEvidence {
  readonly #suspects = new LRUCache<string, PartEvidence>({ max: maxSuspectParts });
  /** Time of the last whole answer with a part, in epoch milliseconds. */
  readonly #answeredAtMs = new LRUCache<string, number>({ max: maxAnsweredParts });
  readonly #crashes = new LRUCache<string, Crash>({ max: maxCrashes });
  /** Crashes of which the cause is known; they are held against no other part. */
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
   * @param mayName - asked before a cause is named, which is put off when it says no.
   */
  causes(
    nowMs: number,
    completeSinceMs: number,
    mayName: (candidate: CrashCandidate) => boolean,
  ): CrashCause[] {
    this.#forgetBefore(nowMs - windowMs);
    const causes: CrashCause[] = [];
    for (;;) {
      const found = this.#nextCauses(nowMs, completeSinceMs);
      if (!found.some(mayName)) return causes;
      causes.push(...this.#name(found, nowMs, completeSinceMs));
    }
  }

  /**
   * Next time after `nowMs` from which a part is named although it is not clear, in epoch
   * milliseconds; infinite when none would be.
   */
  nextDueAtMs(nowMs: number, completeSinceMs: number): number {
    const dueAtMs = this.#candidates().map((candidate) => candidate.dueAtMs(completeSinceMs));
    return Math.min(...dueAtMs.filter((atMs) => atMs > nowMs));
  }

  #candidates(): CrashCandidate[] {
    return [...this.#suspects.keys()]
      .filter((partId) => this.#isCandidate(partId))
      .map((partId) => this.#candidate(partId));
  }

  /** The next cause, or those that fit equally well and were not told apart in time. */
  #nextCauses(nowMs: number, completeSinceMs: number): CrashCandidate[] {
    const candidates = this.#candidates()
      // The most specific explanation first, then the one that explains most.
      .sort(
        (a, b) => b.group.length - a.group.length || b.endpointIds.length - a.endpointIds.length,
      );
    const unanswered = candidates.filter(({ wasAnswered }) => !wasAnswered);
    const rivalsOf = (candidate: CrashCandidate): CrashCandidate[] =>
      unanswered.filter((other) => other.isRivalOf(candidate, nowMs));
    const clear = unanswered
      .filter((candidate) => candidate.reportedEvents(completeSinceMs, nowMs) >= minCrashes)
      .find((candidate) => rivalsOf(candidate).length === 0);
    if (clear) return [clear];
    const due = candidates.filter((candidate) => candidate.dueAtMs(completeSinceMs) <= nowMs);
    const found = due.find(({ wasAnswered }) => !wasAnswered);
    if (found) {
      const rivals = rivalsOf(found);
      const isEarly = rivals.some((rival) => rival.mayCatchUpWith(found, nowMs));
      if (isEarly && nowMs < found.deadlineAtMs) return [];
      return withMostCrashes([found, ...rivals]);
    }
    const answered = due.find(
      (candidate) => !unanswered.some((other) => other.explains(candidate)),
    );
    return answered ? [answered] : [];
  }

  /** Takes the crashes that the causes explain off the evidence. */
  #name(causes: readonly CrashCandidate[], nowMs: number, completeSinceMs: number): CrashCause[] {
    for (const { endpointIds } of causes)
      for (const endpointId of endpointIds) this.explain(endpointId);
    return causes.map((cause) => {
      const { group, endpointIds, firstCrashAtMs } = cause;
      return {
        partIds: group.toSorted(),
        crashes: endpointIds.length,
        endpointIds,
        isByAllReports: cause.reportedEvents(completeSinceMs, nowMs) >= minCrashes,
        firstCrashAtMs,
      };
    });
  }

  #candidate(partId: string): CrashCandidate {
    return new CrashCandidate({
      partId,
      group: this.#companions(partId),
      crashes: new Map(this.#suspects.peek(partId)),
      wasAnswered: this.#answeredAtMs.has(partId),
    });
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

  /** Parts that each request with this one held too, itself included. */
  #companions(partId: string): string[] {
    const requests = this.#requests(partId);
    return [...this.#suspects.keys()].filter((other) => {
      const others = this.#requests(other);
      return [...requests].every((requestId) => others.has(requestId));
    });
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

function withMostCrashes(candidates: readonly CrashCandidate[]): CrashCandidate[] {
  const most = Math.max(...candidates.map(({ endpointIds }) => endpointIds.length));
  return candidates.filter(({ endpointIds }) => endpointIds.length === most);
}
