import type { HistoryEvent } from '../history.js';

/** Pure check of one guarantee; returns one line per violation. */
export type Checker = (history: readonly HistoryEvent[]) => string[];
