import type { Clock } from '../core/index.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';
import type { CallerBounds } from './machine-limits.js';

/** What a connection makes the process keep. */
export enum HeldKind {
  /** A body that has not come whole, with the objects of its request. */
  Incoming = 'incoming',
  /** A body that has come whole, with the objects of its request, until the request ends. */
  Body = 'body',
  /** The beginning of an endpoint's response that is not forwarded yet. */
  Buffered = 'buffered',
  /** Bytes of a response that the caller has not read. */
  Unread = 'unread',
  /** Requests behind another one on the connection. */
  Waiting = 'waiting',
  /** Bytes of a request head that has not come whole. */
  Head = 'head',
}

/** The limit for which a connection was closed. */
export enum CallerLimit {
  HeldBytes = 'held_bytes',
  PeakBytes = 'peak_bytes',
  ObjectBytes = 'object_bytes',
  Sockets = 'sockets',
}

/** Kinds that the caller ends by sending or reading; the others last as long as an endpoint takes. */
const callerKinds = [HeldKind.Incoming, HeldKind.Unread, HeldKind.Waiting, HeldKind.Head] as const;

/** Kinds that are mainly objects in the V8 heap. */
const objectKinds: ReadonlySet<HeldKind> = new Set([HeldKind.Waiting]);

/** Objects of one request: message, response, exchange and their listeners, in bytes. */
export const requestBytes = 8_192;

/** Larger bodies leave a quarter of the bound to smaller ones, in bytes. */
const maxSmallBodyBytes = 65_536;
const largeBodiesShare = 0.75;

/**
 * Time for which a connection holds memory before it counts as slow, in milliseconds. Whole bodies
 * and responses of callers that neither stall nor trickle pass in less.
 */
export const minSlowMs = 1_000;

/** The connection behind a {@link CallerAccount}. */
export interface AccountOwner {
  /** Address of the caller, for the log. */
  readonly client: string;
  /** Refuses what can still be refused, and closes the connection. */
  shed(): void;
}

/** What one connection of a caller makes the process keep. */
export class CallerAccount {
  readonly owner: AccountOwner;
  readonly #memory: CallerMemory;
  readonly #bytes = new Map<HeldKind, number>();
  #totalBytes = 0;
  /** Time since which the caller has kept memory without a break; undefined while it keeps none. */
  #slowSinceMs: number | undefined;
  /** Bytes that the caller kept since then, multiplied with the time for which it did. */
  #byteMs = 0;
  #countedAtMs = 0;
  #isClosed = false;

  /** @internal */
  constructor(memory: CallerMemory, owner: AccountOwner) {
    this.#memory = memory;
    this.owner = owner;
  }

  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Whether the connection was closed or is about to be. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Whether memory is so short that responses are to be forwarded instead of collected. */
  get isMemoryShort(): boolean {
    return this.#memory.isShort;
  }

  /** Bytes that the caller can free by sending or reading. */
  get callerBytes(): number {
    return callerKinds.reduce((sum, kind) => sum + this.bytesOf(kind), 0);
  }

  bytesOf(kind: HeldKind): number {
    return this.#bytes.get(kind) ?? 0;
  }

  /** Time for which the caller has kept memory, in milliseconds. */
  slowMs(nowMs: number): number {
    return this.#slowSinceMs === undefined ? 0 : nowMs - this.#slowSinceMs;
  }

  /** How much memory the caller has kept for how long, in byte-milliseconds. */
  byteMs(nowMs: number): number {
    return this.#byteMs + this.callerBytes * (nowMs - this.#countedAtMs);
  }

  /** Takes memory for a body if there is room. @returns false if not; then none is taken. */
  tryAdd(kind: HeldKind, bytes: number): boolean {
    return this.#memory.hasRoomFor(this, bytes) && this.add(kind, bytes);
  }

  /** Counts memory that is kept already; less of it when `bytes` is negative. */
  add(kind: HeldKind, bytes: number): boolean {
    if (this.#isClosed) return false;
    const nowMs = this.#memory.nowMs();
    this.#byteMs = this.byteMs(nowMs);
    this.#countedAtMs = nowMs;
    this.#bytes.set(kind, this.bytesOf(kind) + bytes);
    this.#totalBytes += bytes;
    if (this.callerBytes === 0) {
      this.#slowSinceMs = undefined;
      this.#byteMs = 0;
    } else this.#slowSinceMs ??= nowMs;
    this.#memory.changed(kind, bytes);
    return !this.#isClosed;
  }

  /** Counts `bytes` of a kind in the place of what was counted before. */
  set(kind: HeldKind, bytes: number): void {
    const addedBytes = bytes - this.bytesOf(kind);
    if (addedBytes !== 0) this.add(kind, addedBytes);
  }

  /** Counts nothing any more. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#memory.closed(this, this.#bytes);
  }
}

/** Options of {@link CallerMemory}. */
export interface CallerMemoryOptions {
  readonly bounds: CallerBounds;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/**
 * Accounts for the memory that callers make the process keep, in bytes as held. Where it is short, the
 * connection that has held the most for the longest is closed. A request whose body has come whole
 * and whose caller reads is never the reason to close one.
 */
export class CallerMemory {
  readonly bounds: CallerBounds;
  readonly #options: CallerMemoryOptions;
  readonly #accounts = new Set<CallerAccount>();
  #usedBytes = 0;
  #objectBytes = 0;
  #bodyBytes = 0;

  constructor(options: CallerMemoryOptions) {
    this.#options = options;
    this.bounds = options.bounds;
  }

  /** Bytes of everything that is held. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Bytes of the bodies of open requests, with the objects of the requests. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  get isShort(): boolean {
    return this.#usedBytes > largeBodiesShare * this.bounds.maxHeldBytes;
  }

  nowMs(): number {
    return this.#options.clock.nowMs();
  }

  open(owner: AccountOwner): CallerAccount {
    const account = new CallerAccount(this, owner);
    this.#accounts.add(account);
    return account;
  }

  /**
   * Whether a body of a connection may grow by `bytes`. Closes slow connections to make room. A body
   * is not refused while nobody else holds anything.
   */
  hasRoomFor(account: CallerAccount, bytes: number): boolean {
    const bodyBytes = account.bytesOf(HeldKind.Incoming) + bytes;
    const { maxHeldBytes } = this.bounds;
    const isLarge = bodyBytes > maxSmallBodyBytes;
    const maxBytes = (isLarge ? largeBodiesShare : 1) * maxHeldBytes - bytes;
    this.#shedWhile(CallerLimit.HeldBytes, minSlowMs, () => this.#usedBytes > maxBytes, account);
    return this.#usedBytes <= maxBytes || this.#usedBytes === account.totalBytes;
  }

  /** Closes slow connections while more is held than may be; called regularly. */
  relieve(): void {
    const isOver = (): boolean => this.#usedBytes > this.bounds.maxHeldBytes;
    this.#shedWhile(CallerLimit.HeldBytes, minSlowMs, isOver);
  }

  /** Closes the connection that has held the most for the longest. @returns whether there is one. */
  shedSlowest(limit: CallerLimit): boolean {
    const account = this.#slowest(minSlowMs);
    if (account) this.shed(account, limit);
    return account !== undefined;
  }

  /** Closes a connection and logs why. */
  shed(account: CallerAccount, limit: CallerLimit): void {
    const { events, metrics, clock } = this.#options;
    events.warn(EventId.ConnectionShed, 'connection of a caller closed at a limit', {
      limit,
      client: account.owner.client,
      heldBytes: account.totalBytes,
      heldMs: account.slowMs(clock.nowMs()),
      allHeldBytes: this.#usedBytes,
    });
    metrics.count('gateway_connections_shed', 1, { limit });
    account.close();
    account.owner.shed();
  }

  /** @internal */
  changed(kind: HeldKind, bytes: number): void {
    this.#count(kind, bytes);
    if (bytes <= 0) return;
    const { maxPeakBytes, maxObjectBytes } = this.bounds;
    this.#shedWhile(CallerLimit.PeakBytes, 0, () => this.#usedBytes > maxPeakBytes);
    this.#shedWhile(CallerLimit.ObjectBytes, 0, () => this.#objectBytes > maxObjectBytes);
  }

  /** @internal */
  closed(account: CallerAccount, bytes: ReadonlyMap<HeldKind, number>): void {
    this.#accounts.delete(account);
    for (const [kind, heldBytes] of bytes) this.#count(kind, -heldBytes);
  }

  #count(kind: HeldKind, bytes: number): void {
    this.#usedBytes += bytes;
    if (objectKinds.has(kind)) this.#objectBytes += bytes;
    if (kind === HeldKind.Incoming || kind === HeldKind.Body) this.#bodyBytes += bytes;
  }

  #shedWhile(
    limit: CallerLimit,
    slowMs: number,
    isOver: () => boolean,
    except?: CallerAccount,
  ): void {
    while (isOver()) {
      const account = this.#slowest(slowMs, limit, except);
      if (!account) return;
      this.shed(account, limit);
    }
  }

  #slowest(slowMs: number, limit?: CallerLimit, except?: CallerAccount): CallerAccount | undefined {
    const nowMs = this.nowMs();
    let slowest: CallerAccount | undefined;
    let most = -1;
    for (const account of this.#accounts) {
      if (account === except || account.callerBytes === 0) continue;
      if (limit === CallerLimit.ObjectBytes && !account.bytesOf(HeldKind.Waiting)) continue;
      if (account.slowMs(nowMs) < slowMs) continue;
      // The bytes themselves tell connections apart that have all just begun.
      const held = account.byteMs(nowMs) + account.callerBytes;
      if (held <= most) continue;
      slowest = account;
      most = held;
    }
    return slowest;
  }
}
