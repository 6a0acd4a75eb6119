import { once } from 'node:events';
import type { Socket } from 'node:net';
import type { AnswerReader, AnswerReaderType } from './answer-readers.js';
import { AfterAnswer, deliver, soundBytes, type Delivery, type OddAnswer } from './odd-answers.js';
import { RawEndpoint } from './raw-endpoint.js';

/** Answers that are played at the same time, each by an endpoint of its own. */
const answersAtOnce = 16;

/** Time after a request in which its reader is done with the connection. */
const settleMs = 5;

/** How odd answers are sent; sound ones leave their connection open. */
export interface OddDelivery {
  readonly delivery: Delivery;
  readonly afterOdd?: AfterAnswer;
}

/** Asks for an odd answer on a fresh connection, then for a sound one, then both again. */
async function play(
  readerType: AnswerReaderType,
  odd: OddAnswer,
  { delivery, afterOdd }: OddDelivery,
): Promise<string[]> {
  // Not by the number of requests: one of another test may come, to a port that was in use before.
  let isOdd = true;
  const endpoint = await new RawEndpoint((request) => {
    const sound = { lines: [], body: reader.soundBody(request) };
    if (isOdd) deliver(request.socket, odd.pieces(sound), delivery, afterOdd);
    else deliver(request.socket, [soundBytes(sound)], delivery);
  }).listen();
  const reader: AnswerReader = new readerType(endpoint);
  const faults: string[] = [];
  const sockets: (Socket | undefined)[] = [];
  for (let index = 0; index < 4; index++) {
    isOdd = index % 2 === 0;
    const arrivals = endpoint.requests.length;
    const result = await reader.read('x').then(() => 'taken', resultOf);
    if (isOdd === (result === 'taken')) faults.push(`${odd.name}, request ${index}: ${result}`);
    if (endpoint.requests.length === arrivals) faults.push(`${odd.name}, request ${index}: unsent`);
    const socket = endpoint.requests.at(-1)?.socket;
    sockets.push(socket);
    // A reader that still closes its connection opens another one beside it.
    if (isOdd && afterOdd === AfterAnswer.Ends && socket?.closed === false) {
      await once(socket, 'close');
    }
    // The reader gets its connection back.
    await new Promise((resolve) => setTimeout(resolve, settleMs));
  }
  await reader.close();
  endpoint.close();
  const isReused = sockets[1] === sockets[2];
  return isReused === reader.keepsConnections ? faults : [...faults, `${odd.name}: connection`];
}

function resultOf(error: unknown): string {
  return error instanceof Error ? `refused: ${error.message}` : String(error);
}

/** Plays answers to readers of one type; resolves with what was wrong. */
export async function playToReader(
  readerType: AnswerReaderType,
  answers: readonly OddAnswer[],
  delivery: OddDelivery,
): Promise<string[]> {
  const faults: string[] = [];
  for (let at = 0; at < answers.length; at += answersAtOnce) {
    const played = answers.slice(at, at + answersAtOnce);
    const found = await Promise.all(played.map((odd) => play(readerType, odd, delivery)));
    faults.push(...found.flat());
  }
  return faults;
}
