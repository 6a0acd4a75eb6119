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
