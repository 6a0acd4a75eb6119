import { getHeapStatistics } from 'node:v8';

/** What the VM allows the process. */
export interface MachineLimits {
  /** Memory of the VM, in bytes. */
  readonly memoryBytes: number;
  /** Descriptors that the process may have open. */
  readonly maxOpenFiles: number;
  /** Limit of the V8 heap, in bytes. */
  readonly heapBytes: number;
}

/** Limits where the platform's settings name none. */
export const defaultMachineLimits: MachineLimits = {
  memoryBytes: 250_000_000,
  maxOpenFiles: 2_212,
  heapBytes: getHeapStatistics().heap_size_limit,
};

/** How much the callers of a gateway may make it keep, derived from {@link MachineLimits}. */
export interface CallerBounds {
  /** Bytes beyond which bodies are refused and slow connections are closed. */
  readonly maxHeldBytes: number;
  /** Bytes beyond which connections are closed however short they have held theirs. */
  readonly maxPeakBytes: number;
  /** Bytes of objects in the V8 heap, whose exhaustion ends the process. */
  readonly maxObjectBytes: number;
  /** Descriptors for connections with callers and endpoints, together. */
  readonly maxSockets: number;
  /** Connections with the daemons that read this one's copies. */
  readonly maxPeerConnections: number;
  /** Connections with callers. */
  readonly maxConnections: number;
}

/** Memory of the program without anything of callers: code, configuration, copies of the store. */
const programBytes = 100_000_000;

/** Left to callers on VMs that are smaller than the program is expected to be, in bytes. */
const minHeldBytes = 8_000_000;

/**
 * Share of the remaining memory that may be held. A body that has just come is held twice for a
 * moment, and what is freed stays with the process until it is collected.
 */
const heldShare = 1 / 3;
const peakRatio = 2;

/**
 * The rest of the heap holds the program's own objects, and those of closed connections until they are
 * collected: with a quarter, a heap of 64 MB was exhausted in 2 of 7 runs of a test.
 */
const objectShareOfHeap = 1 / 8;

/** Descriptors of files, and of the connections to the store, of readiness checks and of metrics. */
const reservedFiles = 200;
const reservedSockets = 64;

/** A daemon that reads copies keeps about one connection for each of five topics. */
const peerShareOfSockets = 1 / 4;

/** Memory of an idle connection: its objects and the parser's state, in bytes. */
const connectionBytes = 16_384;
const connectionShareOfHeld = 1 / 2;

/** Bounds of what callers may make a process on a VM keep. */
export function callerBounds(machine: MachineLimits): CallerBounds {
  const freeBytes = machine.memoryBytes - programBytes;
  const maxHeldBytes = Math.max(minHeldBytes, Math.floor(freeBytes * heldShare));
  const allSockets = Math.max(8, machine.maxOpenFiles - reservedFiles - reservedSockets);
  const maxPeerConnections = Math.floor(allSockets * peerShareOfSockets);
  const maxSockets = allSockets - maxPeerConnections;
  const maxIdle = Math.floor((maxHeldBytes * connectionShareOfHeld) / connectionBytes);
  return {
    maxHeldBytes,
    maxPeakBytes: peakRatio * maxHeldBytes,
    maxObjectBytes: Math.min(maxHeldBytes, Math.floor(machine.heapBytes * objectShareOfHeap)),
    maxSockets,
    maxPeerConnections,
    maxConnections: Math.min(maxSockets, maxIdle),
  };
}
