import { poisonPart, runPoisonCase, type TimedPrompt } from '../lib-3/poison-case.js';

const tenants = 5;
const instructions = 'a100000f:512';

/** Sessions whose prompts list each turn so far as a part; the document with the part came late. */
const sessions = 10;
const turns = 36;
const turn = (session: number, number: number): string =>
  `d4${session}${number.toString(16).padStart(2, '0')}0:40`;
const history = (session: number): string[] => [
  instructions,
  ...Array.from({ length: turns }, (_, number) => turn(session, number)),
];

const requests = 30;
const gapMs = 1_000;

const poisoned: TimedPrompt[] = Array.from({ length: requests }, (_, at) => ({
  tenant: at % tenants,
  shared: [...history(at % sessions), `${poisonPart}:800`],
  atMs: at * gapMs,
}));

await runPoisonCase({
  rule: 'BUDGET',
  folder: 'review/13',
  tenants,
  poisoned,
  sound: (count) => ({ tenant: count % tenants, shared: history(count % sessions) }),
});
