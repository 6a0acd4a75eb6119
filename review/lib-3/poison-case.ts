import { setTimeout as sleep } from 'node:timers/promises';
import { ask, closed, host, noAnswer, sendOrder, type Ask, type Outcome } from './client.js';
import { answerEvents, ModelWorker, type Crash, type Run } from './model-worker.js';
import { PlainWorker } from './plain-worker.js';
import { Record, stoodStill } from './record.js';
import { World, type Tenant } from './world.js';

/** The part of prompts on which workers crash. */
export const poisonPart = '5c1e07a2';

const service = 'huvo11a';
const path = '/pufi791/x';
const deadlineMs = 10_000;

/** From the sheet: `stability_window_ms`, and the number of crashes and requests of the rule. */
const stabilityWindowMs = 4_000;
const crashesOfRule = 5;
const requestsOfRule = 3;

/** For the way from a machine to a worker: what arrives later was sent later. */
const arrivalMs = 250;

/** Like `timetable-publish` of the sheet: a plain service, whose workers have no part in the trouble. */
const plainService = 'xano55b';
const plainWorkers = 3;
const orderPath = '/cufi504/x';
const ordersPerS = 8;
const orderTimeoutMs = 1_000;
const orderDeadlineMs = 2_000;

/** A request counts as unanswered this long after its route's time, if so many are. */
const afterTimeoutMs = 500;
const unansweredOfRule = 8;

const usualGateways = 3;
const workers = 9;
const soundPerS = 20;

/** Time from readiness to the first request with the part, and from the last one to the check. */
const settleMs = 6_000;
const endMs = 3_000;

/** A prompt: its shared parts and the last one, which is its own. */
export interface Prompt {
  readonly tenant: number;
  readonly shared: readonly string[];
  /** Tokens of the last part, which is the request's own; 250 by default. */
  readonly ownTokens?: number;
}

/** A request with the part, and when it is sent. */
export interface TimedPrompt extends Prompt {
  /** Milliseconds since the first one could be sent. */
  readonly atMs: number;
}

/** Options of {@link runPoisonCase}. */
export interface PoisonCaseOptions {
  readonly folder: string;
  readonly tenants: number;
  /** Machines of the system; the sheet has six. */
  readonly gateways?: number;
  /** Prompts with the part, in the order of their times. */
  readonly poisoned: readonly TimedPrompt[];
  /**
   * The next sound prompt.
   *
   * @param atMs - time since the first request with the part could be sent; negative before.
   */
  readonly sound: (count: number, atMs: number) => Prompt;
  /** The rule that the case is about. */
  readonly rule: 'BUDGET' | 'CONFIG';
}

interface Sent {
  readonly requestId: string;
  readonly isPoisoned: boolean;
  readonly atMs: number;
  outcome: Outcome | undefined;
}

interface SentOrder {
  readonly atMs: number;
  readonly outcome: Outcome;
  readonly elapsedMs: number;
}

const hasTrouble = process.env.TROUBLE !== '0';

/** Plays a case, and ends the process with its result: 1 broken, 0 held, 2 could not run. */
export async function runPoisonCase(options: PoisonCaseOptions): Promise<void> {
  const record = new Record(options.folder);
  try {
    process.exitCode = await play(options, record);
  } catch (error) {
    record.tell(
      `the case could not run: ${error instanceof Error ? error.message : String(error)}`,
    );
    process.exitCode = 2;
  } finally {
    record.write();
  }
}

async function play(options: PoisonCaseOptions, record: Record): Promise<number> {
  const tenants = Array.from({ length: options.tenants }, (_, at) => ({
    name: `hule93${at}`,
    key: `i9n73hh2b9wu3fexd9d${at}`,
  }));
  const { gateways = usualGateways } = options;
  const world = new World({
    gateways,
    routes: [route(), orderRoute()],
    services: [service, plainService],
    tenants,
  });
  const arrivals: Run[] = [];
  const crashes: Crash[] = [];
  const fleet = Array.from(
    { length: workers },
    (_, at) =>
      new ModelWorker({
        name: `w${at + 1}`,
        service,
        store: world.store,
        record,
        poison: hasTrouble ? poisonPart : undefined,
        onArrival: (run) => arrivals.push(run),
        onCrash: (crash) => crashes.push(crash),
      }),
  );
  const plain = Array.from(
    { length: plainWorkers },
    (_, at) => new PlainWorker(`i-x${at + 1}`, plainService, world.store),
  );
  try {
    for (const worker of [...fleet, ...plain]) await worker.start();
    await world.start();
    record.tell(`${gateways} machines are ready`);
    const orders = new Orders(world, tenants, record);
    orders.start();
    const sent = await sendAll(options, world, tenants, record);
    await sleep(endMs);
    await orders.stop();
    const { all } = orders;
    return judge({ rule: options.rule, sent, orders: all, arrivals, crashes, record, world });
  } finally {
    for (const worker of fleet) worker.stop();
    await Promise.all(plain.map((worker) => worker.stop()));
    await world.stop();
  }
}

/** Sends plain requests all the while. */
class Orders {
  readonly all: SentOrder[] = [];
  readonly #world: World;
  readonly #tenants: readonly Tenant[];
  readonly #record: Record;
  readonly #open = new Set<Promise<void>>();
  #timer: NodeJS.Timeout | undefined;
  #count = 0;

  constructor(world: World, tenants: readonly Tenant[], record: Record) {
    this.#world = world;
    this.#tenants = tenants;
    this.#record = record;
  }

  start(): void {
    this.#timer = setInterval(() => {
      const sending = this.#send();
      this.#open.add(sending);
      void sending.then(() => this.#open.delete(sending));
    }, 1_000 / ordersPerS);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#open);
  }

  async #send(): Promise<void> {
    const number = ++this.#count;
    const { reachable } = this.#world;
    const machine = reachable[number % reachable.length];
    const tenant = this.#tenants[number % this.#tenants.length];
    if (!machine || !tenant) return;
    const atMs = Date.now();
    const order = { requestId: `l-${number}`, path: orderPath, tenant };
    const outcome = await sendOrder(
      machine,
      { ...order, deadlineMs: orderDeadlineMs },
      this.#record,
    );
    this.all.push({ atMs, outcome, elapsedMs: Date.now() - atMs });
  }
}

async function sendAll(
  { poisoned, sound }: PoisonCaseOptions,
  world: World,
  tenants: readonly Tenant[],
  record: Record,
): Promise<Sent[]> {
  const sent: Sent[] = [];
  const open: Promise<void>[] = [];
  const send = (prompt: Prompt, isPoisoned: boolean): void => {
    const number = sent.length + 1;
    const requestId = `${isPoisoned ? 'p' : 's'}-${number}`;
    const entry: Sent = { requestId, isPoisoned, atMs: Date.now(), outcome: undefined };
    sent.push(entry);
    const { reachable } = world;
    const machine = reachable[(number * 7) % reachable.length];
    const tenant = tenants[prompt.tenant];
    if (!machine || !tenant) return;
    const own = `e4${number.toString(16).padStart(6, '0')}:${prompt.ownTokens ?? 250}`;
    const request: Ask = { requestId, path, tenant, parts: [...prompt.shared, own], deadlineMs };
    open.push(
      ask(machine, request, answerEvents, record).then((outcome) => {
        entry.outcome = outcome;
      }),
    );
  };
  let sounds = 0;
  const startedAtMs = Date.now() + settleMs;
  const timer = setInterval(() => {
    send(sound(sounds++, Date.now() - startedAtMs), false);
  }, 1_000 / soundPerS);
  for (const prompt of poisoned) {
    await sleep(Math.max(0, startedAtMs + prompt.atMs - Date.now()));
    send(prompt, true);
  }
  await sleep(1_000);
  clearInterval(timer);
  await Promise.all(open);
  return sent;
}

interface Seen {
  readonly rule: PoisonCaseOptions['rule'];
  readonly sent: readonly Sent[];
  readonly orders: readonly SentOrder[];
  readonly arrivals: readonly Run[];
  readonly crashes: readonly Crash[];
  readonly record: Record;
  readonly world: World;
}

function judge({ rule, sent, orders, arrivals, crashes, record, world }: Seen): number {
  const poisoned = new Set(
    sent.filter(({ isPoisoned }) => isPoisoned).map(({ requestId }) => requestId),
  );
  const outcomes = (isPoisoned: boolean): string => {
    const counts = new Map<string, number>();
    for (const entry of sent.filter((other) => other.isPoisoned === isPoisoned)) {
      const outcome = entry.outcome ?? 'none';
      counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
    }
    return [...counts].map(([outcome, count]) => `${outcome} ${count}`).join(', ');
  };
  record.tell(`requests with the part: ${outcomes(true)}`);
  record.tell(`sound requests: ${outcomes(false)}`);
  record.tell(`crashes of workers: ${crashes.length}`);
  for (const { name, longestSilenceMs } of world.machines) {
    record.tell(
      `${name}: longest time without an answer to /oriolestack/ready: ${longestSilenceMs} ms`,
    );
  }
  if (world.machines.some(({ isRunning }) => !isRunning)) {
    record.tell('a process of the system has ended');
    return 2;
  }
  if (stoodStill(record)) return 2;
  if (!hasTrouble) {
    const failed = sent.filter(({ outcome }) => outcome !== 'whole').length;
    record.tell(`without the trouble: ${failed} of ${sent.length} requests were not served`);
    if (judgeOrders(orders, record)) return 1;
    return failed <= sent.length / 50 ? 0 : 2;
  }
  const fifth = crashes[crashesOfRule - 1];
  if (!fifth) {
    record.tell(`fewer than ${crashesOfRule} crashes; the rule bounds nothing`);
    return 0;
  }
  const sinceMs = fifth.atMs + stabilityWindowMs + arrivalMs;
  const late = arrivals.filter(({ requestId, atMs }) => poisoned.has(requestId) && atMs > sinceMs);
  const lateCrashes = crashes.filter(({ atMs }) => atMs > sinceMs);
  const isLost = (requestId: string): boolean =>
    !poisoned.has(requestId) &&
    sent.some((entry) => entry.requestId === requestId && entry.outcome !== 'whole');
  const lost = lateCrashes.flatMap(({ cut }) => cut).filter(isLost);
  record.note(`window of the rule begins`, sinceMs);
  record.tell(
    `requests with the part at workers later than ${stabilityWindowMs} ms after the fifth crash: ` +
      `${late.length} (allowed: ${requestsOfRule}); crashes since then: ${lateCrashes.length}; ` +
      `sound requests that these cut off: ${lost.length}`,
  );
  const isBroken = {
    BUDGET: late.length > requestsOfRule,
    CONFIG: judgeOrders(orders, record),
  };
  return isBroken[rule] ? 1 : 0;
}

/** Whether plain requests have no answer at the end of their route's time, as CONFIG counts them. */
function judgeOrders(orders: readonly SentOrder[], record: Record): boolean {
  // One whose connection does not stand, or was closed, is not counted.
  const counted = orders.filter(({ outcome }) => outcome !== closed);
  const isOpenAt = ({ outcome, elapsedMs }: SentOrder, ms: number): boolean =>
    outcome === noAnswer || elapsedMs > ms;
  const open = counted.filter((order) => isOpenAt(order, orderTimeoutMs));
  const late = open.filter((order) => isOpenAt(order, orderTimeoutMs + afterTimeoutMs));
  record.tell(
    `orders: ${orders.length}; unanswered at their route's ${orderTimeoutMs} ms: ` +
      `${open.length}; ${afterTimeoutMs} ms later: ${late.length}`,
  );
  return late.length >= unansweredOfRule && late.length * 2 > open.length;
}

/** Like `lesson-tweak` of the sheet: a stream that cannot be resumed, sent to one worker. */
function route(): object {
  return {
    name: 'r-28m82th',
    host,
    path_prefix: '/pufi791/',
    kind: 'stream',
    timeout_ms: deadlineMs,
    target_latency_ms: 1_000,
    priority: 1,
    service,
    max_attempts: 1,
    public: false,
    sticky: true,
    resumable: false,
    gap_aim_ms: 400,
  };
}

function orderRoute(): object {
  return {
    name: 'r-x1',
    host,
    path_prefix: '/cufi504/',
    kind: 'unsafe',
    timeout_ms: orderTimeoutMs,
    target_latency_ms: 200,
    priority: 2,
    service: plainService,
    max_attempts: 1,
    public: false,
    sticky: false,
    resumable: false,
  };
}
