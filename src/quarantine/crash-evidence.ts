import { LRUCache } from 'lru-cache';
import type { CrashReport } from './crash-report.js';

/** Parts of prompts that can be told apart neither by the endpoints' ends nor by answers. */
export interface CrashCause {
  readonly partIds: readonly string[];
  /** Endpoints that ended under it. */
  readonly ends: number;
  /** Epoch milliseconds. */
  readonly firstEndAtMs: number;
}

/** Separate ends of endpoints, and requests, after which a part counts as their cause. */
const minEnds = 3;
const minRequests = 2;

/**
 * Ends after which a part is named although another one fits as well, or although answers with it
 * came whole before; and the time since the first of them, in which parts of sound requests are
 * cleared by further answers.
 */
const minUnclearEnds = 5;
const unclearMs = 2_500;

/** Endpoints that end within this time of each other may have one cause outside of any prompt. */
const sameEventMs = 250;

/** A part that was there at fewer of the ends in its time is not what endpoints end under. */
const minExplainedRatio = 1 / 3;

/** Ends that are further back count no more. */
const windowMs = 300_000;

/** Bounds of the memory, as callers choose the ids of parts. */
const maxSuspectParts = 2_048;
const maxAnsweredParts = 16_384;
const maxEndsOfPart = 16;
const maxEnds = 1_024;

/** End of an endpoint. */
interface End {
  readonly endedAtMs: number;
  /** Time at which the latest request there was sent, in epoch milliseconds. */
  readonly sentAtMs: number;
}

/** Requests with a part at one endpoint when it ended. */
interface EndOfPart extends End {
  readonly requestIds: Set<string>;
}

/** A part with enough held against it. */
interface Candidate {
  readonly partId: string;
  /** Parts that each request with this one held too, itself included. */
  readonly group: readonly string[];
  /** Endpoints that ended under it. */
  readonly ends: readonly string[];
  readonly firstEndAtMs: number;
  /** Whether an answer with it came whole at some time. */
  readonly wasAnswered: boolean;
}

/** What is held against a part, by endpoint. */
type PartEvidence = Map<string, EndOfPart>;

/**
 * Finds the parts of prompts under which endpoints end. An end names the parts of all requests that
 * were in progress there, most of them innocent; one endpoint's end proves nothing. A part is the
 * cause when several endpoints ended, one after the other and under different requests with it, and
 * no answer with it has come whole since: a part that crashes endpoints lets none come whole, while
 * those of other requests do. Parts that answers came whole on before are suspected last: they may
 * have turned deadly with new weights, but most of them are bystanders that will be cleared soon.
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
  readonly #ends = new LRUCache<string, End>({ max: maxEnds });
  /** Ends of which the cause is known; they are held against no other part. */
  readonly #explainedEnds = new LRUCache<string, true>({ max: maxEnds });

  /** Adds a report of this or another daemon; the same one may come more than once. */
  add({ endpointId, requestId, partIds, sentAtMs, endedAtMs }: CrashReport): void {
    if (partIds.length === 0 || this.#explainedEnds.has(endpointId)) return;
    this.#ends.set(endpointId, laterSent(this.#ends.get(endpointId), { sentAtMs, endedAtMs }));
    for (const partId of partIds) {
      if ((this.#answeredAtMs.get(partId) ?? -Infinity) > endedAtMs) continue;
      const evidence = this.#suspects.get(partId) ?? new Map<string, EndOfPart>();
      const known = evidence.get(endpointId);
      const requestIds = new Set([...(known?.requestIds ?? []), requestId]);
      if (known || evidence.size < maxEndsOfPart)
        evidence.set(endpointId, { ...laterSent(known, { sentAtMs, endedAtMs }), requestIds });
      this.#suspects.set(partId, evidence);
    }
  }

  /**
   * Records an answer that came whole, which clears the parts of its prompt of the ends before it.
   *
   * @returns the parts that were under suspicion here.
   */
  recordAnswer(partIds: readonly string[], answeredAtMs: number): string[] {
    return partIds.filter((partId) => {
      const knownAtMs = this.#answeredAtMs.get(partId) ?? -Infinity;
      this.#answeredAtMs.set(partId, Math.max(knownAtMs, answeredAtMs));
      const evidence = this.#suspects.get(partId);
      if (!evidence) return false;
      for (const [endpointId, { endedAtMs }] of evidence) {
        if (endedAtMs < answeredAtMs) evidence.delete(endpointId);
      }
      if (evidence.size === 0) this.#suspects.delete(partId);
      return true;
    });
  }

  /** Whether anything is held against one of the parts. */
  isSuspected(partIds: readonly string[]): boolean {
    return partIds.some((partId) => this.#suspects.has(partId));
  }

  /** Whether the cause of an end is known. */
  isExplained(endpointId: string): boolean {
    return this.#explainedEnds.has(endpointId);
  }

  /** Whether anything is held against any part. */
  get hasSuspects(): boolean {
    return this.#suspects.size > 0;
  }

  /** Takes an end whose cause is known off the evidence, also for reports that are still to come. */
  explain(endpointId: string): void {
    this.#explainedEnds.set(endpointId, true);
    this.#ends.delete(endpointId);
    for (const [partId, evidence] of [...this.#suspects.entries()]) {
      evidence.delete(endpointId);
      if (evidence.size === 0) this.#suspects.delete(partId);
    }
  }

  /**
   * Names the causes that the evidence shows now, and takes the ends that each explains off the
   * evidence against other parts.
   */
  causes(nowMs: number): CrashCause[] {
    this.#forgetBefore(nowMs - windowMs);
    const causes: CrashCause[] = [];
    for (;;) {
      const found = this.#nextCauses(nowMs);
      if (found.length === 0) return causes;
      causes.push(...found);
    }
  }

  /** The next cause, or those that fit equally well and were not told apart in time. */
  #nextCauses(nowMs: number): CrashCause[] {
    const candidates = [...this.#suspects.keys()]
      .filter((partId) => this.#isCandidate(partId))
      .map((partId) => this.#candidate(partId))
      // The most specific explanation first, then the one that explains most.
      .sort((a, b) => b.group.length - a.group.length || b.ends.length - a.ends.length);
    const unanswered = candidates.filter(({ wasAnswered }) => !wasAnswered);
    const clear = unanswered.find((candidate) => rivalsOf(candidate, unanswered).length === 0);
    if (clear) return this.#name([clear]);
    const due = candidates.filter((candidate) => isOverdue(candidate, nowMs));
    const found = due.find(({ wasAnswered }) => !wasAnswered);
    if (found) return this.#name([found, ...rivalsOf(found, unanswered)]);
    const answered = due.find(
      (candidate) => !unanswered.some((other) => explains(other, candidate)),
    );
    return answered ? this.#name([answered]) : [];
  }

  /** Takes the ends that the causes explain off the evidence. */
  #name(causes: readonly Candidate[]): CrashCause[] {
    for (const { ends } of causes) for (const endpointId of ends) this.explain(endpointId);
    return causes.map(({ group, ends, firstEndAtMs }) => {
      return { partIds: group.toSorted(), ends: ends.length, firstEndAtMs };
    });
  }

  #candidate(partId: string): Candidate {
    const evidence = [...(this.#suspects.peek(partId)?.values() ?? [])];
    return {
      partId,
      group: this.#companions(partId),
      ends: this.#endsOf(partId),
      firstEndAtMs: Math.min(...evidence.map(({ endedAtMs }) => endedAtMs)),
      wasAnswered: this.#answeredAtMs.has(partId),
    };
  }

  #isCandidate(partId: string): boolean {
    const ends = [...(this.#suspects.peek(partId)?.values() ?? [])];
    const events = countEvents(ends);
    if (events < minEnds || this.#requests(partId).size < minRequests) return false;
    const firstAtMs = Math.min(...ends.map(({ endedAtMs }) => endedAtMs));
    const allEnds = [...this.#ends.values()].filter(({ endedAtMs }) => endedAtMs >= firstAtMs);
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

  /** Endpoints that ended while a request with the part was in progress. */
  #endsOf(partId: string): string[] {
    return [...(this.#suspects.peek(partId)?.keys() ?? [])];
  }

  #requests(partId: string): Set<string> {
    const ends = [...(this.#suspects.peek(partId)?.values() ?? [])];
    return new Set(ends.flatMap(({ requestIds }) => [...requestIds]));
  }

  #forgetBefore(sinceMs: number): void {
    for (const [endpointId, { endedAtMs }] of [...this.#ends.entries()]) {
      if (endedAtMs < sinceMs) this.#ends.delete(endpointId);
    }
    for (const [partId, evidence] of [...this.#suspects.entries()]) {
      for (const [endpointId, { endedAtMs }] of evidence) {
        if (endedAtMs < sinceMs) evidence.delete(endpointId);
      }
      if (evidence.size === 0) this.#suspects.delete(partId);
    }
  }
}

/** Other parts at all ends of a candidate, in other requests. */
function rivalsOf({ group, ends }: Candidate, candidates: readonly Candidate[]): Candidate[] {
  return candidates
    .filter(({ partId }) => !group.includes(partId))
    .filter((rival) => ends.every((end) => rival.ends.includes(end)));
}

/** Whether a sound part would have been cleared by now. */
function isOverdue({ ends, firstEndAtMs }: Candidate, nowMs: number): boolean {
  return ends.length >= minUnclearEnds && nowMs - firstEndAtMs >= unclearMs;
}

/** Whether a part was there at most of the ends of another one. */
function explains({ ends }: Candidate, other: Candidate): boolean {
  return other.ends.filter((end) => ends.includes(end)).length * 2 > other.ends.length;
}

/**
 * Number of separate events, as ends shortly after each other may be one. A request that was sent
 * after an end met an endpoint that had outlived whatever caused that end.
 */
function countEvents(ends: readonly End[]): number {
  let events = 0;
  let eventAtMs = -Infinity;
  for (const { sentAtMs, endedAtMs } of ends.toSorted((a, b) => a.endedAtMs - b.endedAtMs)) {
    if (endedAtMs - eventAtMs <= sameEventMs && sentAtMs <= eventAtMs) continue;
    events += 1;
    eventAtMs = endedAtMs;
  }
  return events;
}

/** An end with the time of the later of two requests. */
function laterSent(known: End | undefined, end: End): End {
  const sentAtMs = Math.max(known?.sentAtMs ?? -Infinity, end.sentAtMs);
  return { endedAtMs: known?.endedAtMs ?? end.endedAtMs, sentAtMs };
}
