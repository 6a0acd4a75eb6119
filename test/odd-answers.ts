/** Where in an answer its odd line stands. */
export enum OddPlace {
  FirstLine = 'the first line of the head',
  LastLine = 'the last line of the head',
  InterimHead = 'an interim head',
  Trailers = 'the trailers',
}

/** What a sound answer of an endpoint consists of. */
export interface SoundAnswer {
  /** Lines of the head besides those that frame the body. */
  readonly lines: readonly string[];
  /** ASCII text. */
  readonly body: string;
}

/** An answer that HTTP does not know, as the bytes of a sound one with something odd in it. */
export interface OddAnswer {
  readonly name: string;
  /** Pieces that together are the answer; the odd bytes are in the middle of them. */
  readonly pieces: (sound: SoundAnswer) => readonly string[];
}

const statusLine = 'HTTP/1.1 200 OK';

/** The bytes of a sound answer that ends with its connection. */
export function unframedBytes({ lines, body }: SoundAnswer): string {
  return [statusLine, ...lines, '', body].join('\r\n');
}

/** The bytes of a sound answer, with its length. */
export function soundBytes({ lines, body }: SoundAnswer): string {
  return [statusLine, ...lines, `content-length: ${body.length}`, '', body].join('\r\n');
}

/** The bytes of a sound answer, in one chunk and with lines as its trailers. */
export function chunkedBytes(
  { lines, body }: SoundAnswer,
  trailers: readonly string[] = [],
): string {
  return [
    statusLine,
    ...lines,
    'transfer-encoding: chunked',
    '',
    body.length.toString(16),
    body,
    '0',
    ...trailers,
    '',
    '',
  ].join('\r\n');
}

/** Characters that no name of a field holds, besides the colon that ends it. */
const blanksAndControls = [' ', '\t', '\0', '\x01', '\x08', '\n', '\v', '\f', '\r', '\x1f', '\x7f'];

/** Lines whose name holds a blank or a control character; readers know some of the names. */
const oddLines: readonly string[] = [
  ...blanksAndControls.flatMap((odd) => [
    `${odd}x-check: 1`,
    `x-${odd}check: 1`,
    `x-check${odd}: 1`,
    `${odd}content-length: 1`,
    `content-${odd}length: 1`,
    `content-length${odd}: 1`,
    `${odd}transfer-encoding: chunked`,
    `transfer-encoding${odd}: chunked`,
  ]),
  'content length: 1',
  'connection : close',
  'x check',
  ' ',
  '\t: 1',
  ': 1',
];

function withOddLine(place: OddPlace, line: string, sound: SoundAnswer): string {
  const { lines } = sound;
  switch (place) {
    case OddPlace.FirstLine:
      return soundBytes({ ...sound, lines: [line, ...lines] });
    case OddPlace.LastLine:
      return soundBytes(sound).replace('\r\n\r\n', `\r\n${line}\r\n\r\n`);
    case OddPlace.InterimHead:
      return `HTTP/1.1 103 Early Hints\r\nx-sound: 1\r\n${line}\r\n\r\n${soundBytes(sound)}`;
    case OddPlace.Trailers:
      return chunkedBytes(sound, ['x-sound: 1', line]);
  }
}

/** Names with a blank or a control character before them, in them and behind them. */
function oddNamesOf(name: string): readonly string[] {
  const middle = name.indexOf('-') + 1;
  return blanksAndControls.flatMap((odd) => [
    `${odd}${name}`,
    `${name.slice(0, middle)}${odd}${name.slice(middle)}`,
    `${name}${odd}`,
  ]);
}

/** Answers in which the name of the line that frames the body holds a blank or a control character. */
export const answersWithOddFraming: readonly OddAnswer[] = [
  ...framedOddly('content-length', soundBytes),
  ...framedOddly('transfer-encoding', (sound) => chunkedBytes(sound)),
];

function framedOddly(name: string, bytesOf: (sound: SoundAnswer) => string): OddAnswer[] {
  return oddNamesOf(name).map((oddName) => ({
    name: JSON.stringify(oddName),
    pieces: (sound) => cutAround(bytesOf(sound).replace(`${name}:`, `${oddName}:`), `${oddName}:`),
  }));
}

/** Transfer codings that no reader undoes, and spellings of chunks that HTTP does not have. */
const oddCodings = [
  'xchunked',
  'chunkedx',
  'chunk ed',
  'identity',
  'gzip',
  '',
  'chunked;q=1',
  'chunked, gzip',
  'gzip, chunked',
  'chunked\r\ntransfer-encoding: chunked',
  'chunked\r\ncontent-length: 1',
];

/** Answers in chunks that name another transfer coding. */
export const answersWithOddCoding: readonly OddAnswer[] = oddCodings.map((coding) => ({
  name: `transfer coding ${JSON.stringify(coding)}`,
  pieces: (sound) =>
    cutAround(chunkedBytes(sound).replace(': chunked\r\n', `: ${coding}\r\n`), `: ${coding}\r\n`),
}));

/** Cuts bytes before an odd part, after its first character and behind it. */
function cutAround(bytes: string, odd: string): readonly string[] {
  const at = bytes.indexOf(odd);
  const cuts = [0, at, at + 1, at + odd.length, bytes.length];
  return cuts.slice(1).map((cut, index) => bytes.slice(cuts[index], cut));
}

/** Answers with a line whose name holds a blank or a control character. */
export function answersWithOddNames(place: OddPlace): readonly OddAnswer[] {
  return oddLines.map((line) => ({
    name: JSON.stringify(line),
    pieces: (sound) => cutAround(withOddLine(place, line, sound), `\r\n${line}\r\n`),
  }));
}

/** Statuses below all that HTTP has. A response with one of them might pass for an interim one. */
const lowStatuses = ['000', '001', '020', '099'];

/** Statuses that HTTP does not have. */
const oddStatuses = [...lowStatuses, '600', '999', '20', '2000', '2x0', ''];

/** Answers with a status that HTTP does not have, alone or before a sound answer. */
export const answersWithOddStatus: readonly OddAnswer[] = [
  ...oddStatuses.map((status) => ({
    name: `status "${status}"`,
    pieces: (sound: SoundAnswer) => [
      `HTTP/1.1 ${status}`,
      soundBytes(sound).slice('HTTP/1.1 200'.length),
    ],
  })),
  ...lowStatuses.map((status) => ({
    name: `a head with status "${status}" before the answer`,
    pieces: (sound: SoundAnswer) => [`HTTP/1.1 ${status}`, ' Odd\r\n\r\n', soundBytes(sound)],
  })),
];

/** How the bytes of an answer are sent. */
export enum Delivery {
  Whole = 'whole',
  InPieces = 'in pieces',
}

/** Time between two pieces, in which the receiver reads the first one. */
const pieceGapMs = 4;

/** Where an answer is written to. */
export interface AnswerSink {
  readonly destroyed: boolean;
  write(bytes: string, encoding: 'latin1'): unknown;
  end(): unknown;
}

/** What becomes of a connection after an answer. */
export enum AfterAnswer {
  StaysOpen = 'stays open',
  /** The end of the connection is the end of an answer without a length. */
  Ends = 'ends',
}

/** Writes an answer, and stops when the receiver has closed the connection. */
export function deliver(
  sink: AnswerSink,
  pieces: readonly string[],
  delivery: Delivery,
  afterAnswer = AfterAnswer.StaysOpen,
): void {
  const rest = delivery === Delivery.Whole ? [pieces.join('')] : [...pieces];
  const writeNext = (): void => {
    const piece = rest.shift();
    if (piece === undefined || sink.destroyed) return;
    sink.write(piece, 'latin1');
    if (rest.length > 0) setTimeout(writeNext, pieceGapMs);
    else if (afterAnswer === AfterAnswer.Ends) sink.end();
  };
  writeNext();
}
