/** Lateness of a timer that shows a stall of the event loop. */
const stallMs = 50;

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/**
 * Resolves once the event loop has handled what its sockets had received by the time of the call.
 * After a stall, a request and the end of its caller's connection wait together, and the request
 * is handled first.
 */
export async function allSocketsRead(): Promise<void> {
  // The caller may itself run amid the reads of a turn: those of the next one are complete.
  await nextTurn();
  await nextTurn();
}

/**
 * Runs `action` once after `delayMs`. After a stall Node runs timers before it reads its sockets; a
 * timer that is late runs after what they received meanwhile, such as the response it waits for.
 *
 * @returns a function that cancels the timer; further calls have no effect.
 */
export function scheduleTimer(delayMs: number, action: () => void): () => void {
  const dueAtMs = performance.now() + delayMs;
  let isCancelled = false;
  const onTimer = async (): Promise<void> => {
    if (performance.now() - dueAtMs > stallMs) await allSocketsRead();
    if (!isCancelled) action();
  };
  const timer = setTimeout(() => void onTimer(), delayMs);
  return () => {
    isCancelled = true;
    clearTimeout(timer);
  };
}
