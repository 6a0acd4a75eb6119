import type { DutyCall } from '../../platform/standins/duty-server.js';
import type {
  EndpointArrival,
  EndpointBreak,
  EndpointRun,
} from '../../platform/standins/endpoint-server.js';

/** What a caller asks for. */
export enum CallKind {
  /** Runs at most once. */
  Once = 'once',
  Safe = 'safe',
  /** May go on at another endpoint. */
  Stream = 'stream',
  /** A stream whose prompt shares parts with others. */
  Prompt = 'prompt',
  /** Tells which version of the configuration handled it. */
  Version = 'version',
  /** A body larger than socket buffers hold. */
  Bulk = 'bulk',
  /** A stream whose events are large. */
  BulkStream = 'bulkstream',
}

/** Kinds for which all callers ask in all plays. */
export const usualKinds: readonly CallKind[] = [
  CallKind.Once,
  CallKind.Safe,
  CallKind.Stream,
  CallKind.Prompt,
  CallKind.Version,
];

/** A call as its caller saw it end. */
export interface CallEnd {
  readonly requestId: string;
  readonly kind: CallKind;
  /** Request behind which it was sent on the same connection; undefined if behind none. */
  readonly frontId?: string;
  /** First part of its prompt, which other prompts share; undefined when it has none. */
  readonly firstPart: string | undefined;
  readonly gateway: string;
  /** Run of the gateway's process when the call was sent. */
  readonly gatewayRun: number;
  /** Undefined when the connection ended before an answer. */
  readonly status: number | undefined;
  readonly answeredId: string | undefined;
  readonly isSigned: boolean;
  readonly body: string;
  /** Whether the answer came to its end. */
  readonly isWhole: boolean;
  /** Whether the caller closed its connection before the answer was whole. */
  readonly hasLeft: boolean;
  /** Epoch milliseconds. */
  readonly sentAtMs: number;
  /** Time at which its last byte was sent, in epoch milliseconds; undefined if that is not known. */
  readonly wholeAtMs: number | undefined;
  readonly endedAtMs: number;
  /** Shortest time that its deadline and its route gave it, in milliseconds. */
  readonly timeLimitMs: number;
  /** Whether its caller gave up waiting for any end, long after its deadline. */
  readonly isHung: boolean;
}

/** Whether answers to calls of a kind are streams of events. */
export function isStream(kind: CallKind): boolean {
  return kind === CallKind.Stream || kind === CallKind.Prompt || kind === CallKind.BulkStream;
}

/** From when to when, in epoch milliseconds. */
export interface TimeSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A fault, from when to when. */
export interface FaultSpan {
  readonly what: string;
  readonly fromMs: number;
  /** Infinity while it lasts. */
  untilMs: number;
}

/** An endpoint said that it leaves. */
export interface EndpointLeave {
  readonly instanceId: string;
  /** Epoch milliseconds. */
  readonly atMs: number;
}

/** A gateway was asked to stop. */
export interface GatewayStop {
  readonly gateway: string;
  readonly gatewayRun: number;
  /** Epoch milliseconds. */
  readonly atMs: number;
}

/** Everything that callers, endpoints and the platform saw in a run. */
export class Ledger {
  readonly runs: EndpointRun[] = [];
  readonly arrivals: EndpointArrival[] = [];
  readonly ends: CallEnd[] = [];
  readonly leaves: EndpointLeave[] = [];
  readonly breaks: EndpointBreak[] = [];
  readonly stops: GatewayStop[] = [];
  /** Times at which endpoints crashed under the poison part of a prompt, in epoch milliseconds. */
  readonly crashesAtMs: number[] = [];
  readonly faults: FaultSpan[] = [];
  /** Times in which the process of callers, proxies and endpoints stood still. */
  readonly ownStalls: TimeSpan[] = [];
  readonly dutyCalls: DutyCall[];

  constructor(dutyCalls: DutyCall[]) {
    this.dutyCalls = dutyCalls;
  }

  /** Notes a fault. @returns what ends it. */
  fault(what: string): () => void {
    const span: FaultSpan = { what, fromMs: Date.now(), untilMs: Infinity };
    this.faults.push(span);
    return () => {
      span.untilMs = Date.now();
    };
  }

  /** How long this process stood still between two times, in epoch milliseconds. */
  ownStallMs(fromMs: number, untilMs: number): number {
    const overlaps = this.ownStalls.map((stall) => {
      return Math.min(untilMs, stall.untilMs) - Math.max(fromMs, stall.fromMs);
    });
    return overlaps.reduce((sum, overlapMs) => sum + Math.max(0, overlapMs), 0);
  }

  /**
   * Whether nothing was wrong between two times, in epoch milliseconds.
   *
   * @param counts - leaves out faults that do not matter, by what they are.
   */
  isCalm(fromMs: number, untilMs: number, counts: (what: string) => boolean = () => true): boolean {
    return !this.faults.some(
      (fault) => fault.fromMs <= untilMs && fault.untilMs >= fromMs && counts(fault.what),
    );
  }
}
