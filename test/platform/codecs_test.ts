import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { maxRequestTokens } from '../../src/gateway/request-codec.js';
import { RequestKind } from '../../src/gateway/traffic-config.js';
import { decodeConfig } from '../../platform/config-codec.js';
import { HeaderCodec } from '../../platform/header-codec.js';
import { parseNodeSettings } from '../../platform/node-settings.js';
import {
  UnreadableRegistrationError,
  decodeRegistration,
} from '../../platform/registration-codec.js';
import { decodeRecords, encodeRecord } from '../../platform/store-client.js';

const regions = new Map([['here-a', 'here']]);

const entry = {
  service: 'orders',
  address: '10.0.0.1:8080',
  zone: 'here-a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  cold_remaining_ms: 0,
  sequence: 4,
};

function bytesOf(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/** Entries that another writer may have left among those of endpoints. */
const foreignEntries: [string, unknown][] = [
  ['without its version', { ...entry, version: undefined }],
  ['without its time until it is warm', { ...entry, cold_remaining_ms: undefined }],
  ['without its sequence', { ...entry, sequence: undefined }],
  ['with a sequence of another type', { ...entry, sequence: '4' }],
  ['with a port out of range', { ...entry, address: '10.0.0.1:99999' }],
  ['with port 0', { ...entry, address: '10.0.0.1:0' }],
  ['with an address out of range', { ...entry, address: '10.0.0.999:80' }],
  ['with the name of a host', { ...entry, address: 'localhost:80' }],
  ['with slots beyond all bounds', { ...entry, slots: 1e300 }],
  ['with half a slot', { ...entry, slots: 0.5 }],
  ['with a start that is no whole number', { ...entry, born: 1.5 }],
  ['with a start beyond all times', { ...entry, born: 1e300 }],
  ['with an end beyond all times', { ...entry, leaves_ms: 1e300 }],
  ['with a time until it is warm beyond all bounds', { ...entry, cold_remaining_ms: 1e300 }],
];

/** Text of an entry, of which one field is nested very deeply. */
function deeplyNested(field: string): string {
  const depth = 100_000;
  const nested = '['.repeat(depth) + ']'.repeat(depth);
  return JSON.stringify({ ...entry, [field]: 'nested' }).replace('"nested"', nested);
}

describe('decodeRegistration', () => {
  // Each would be an endpoint to which requests go, of a service that no route names, or that throws.
  it.each(foreignEntries)('refuses an entry %s', (_kind, value) => {
    expect(() => decodeRegistration('i-1', bytesOf(value), regions, 0)).toThrow(
      UnreadableRegistrationError,
    );
  });

  it.each(['state', 'address', 'slots', 'leaves_ms'])(
    'refuses an entry whose field %s is nested without end',
    (field) => {
      const bytes = Buffer.from(deeplyNested(field));
      expect(() => decodeRegistration('i-1', bytes, regions, 0)).toThrow(
        UnreadableRegistrationError,
      );
    },
  );

  it.each(['', 'i 1', 'i-1\r\nx: y', 'ï-1'])(
    'refuses the instance id %j, which no header can carry',
    (instanceId) => {
      expect(() => decodeRegistration(instanceId, bytesOf(entry), regions, 0)).toThrow(
        UnreadableRegistrationError,
      );
    },
  );

  it('reads an entry with a further field that is nested very deeply', () => {
    const bytes = Buffer.from(deeplyNested('other'));
    expect(decodeRegistration('i-1', bytes, regions, 0).serviceName).toBe('orders');
  });

  it('reads an entry and finds the region of its failure domain', () => {
    expect(decodeRegistration('i-1', bytesOf(entry), regions, 0)).toMatchObject({
      instanceId: 'i-1',
      serviceName: 'orders',
      baseUrl: 'http://10.0.0.1:8080',
      region: 'here',
      isDraining: false,
      startedAtMs: 0,
    });
  });

  describe('invalid entries', () => {
    it('are rejected one by one, whatever they contain', () => {
      const wrong = [
        { ...entry, state: 'resting' },
        { ...entry, slots: 'many' },
        { ...entry, address: 'http://elsewhere' },
        { ...entry, born: -1 },
        [],
        7,
      ];
      for (const value of wrong) {
        expect(() => decodeRegistration('i-1', bytesOf(value), regions, 0)).toThrow(
          UnreadableRegistrationError,
        );
      }
      fc.assert(
        fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
          expect(() => decodeRegistration('i-1', bytes, regions, 0)).toThrow(
            UnreadableRegistrationError,
          );
        }),
      );
    });
  });
});

describe('decodeConfig', () => {
  const route = {
    name: 'r',
    host: 'Shop.Example',
    path_prefix: '/a/',
    kind: 'unsafe',
    timeout_ms: 1_500,
    service: 'orders',
  };

  // A limit without end made balances infinite, and a timer of such a time fires at once.
  it('cuts numbers beyond all bounds', () => {
    const huge = {
      timeout_ms: 1e300,
      target_latency_ms: 1e300,
      gap_aim_ms: 1e300,
      priority: 1e300,
    };
    const tenant = { name: 't', rate_per_s: 1e308, burst: 1e308, plain_tokens: 1e308 };
    const limits = { header_timeout_ms: 1e300, idle_timeout_ms: 1e300 };
    const value = {
      version: 3,
      routes: [{ ...route, ...huge }],
      services: [],
      tenants: [tenant],
      limits,
    };
    const config = decodeConfig(bytesOf(value), () => undefined);
    const numbers = [...config.routes, ...config.workspaces, config.limits].flatMap((entry) =>
      Object.values(entry as object).filter((field) => typeof field === 'number'),
    );
    expect(numbers.length).toBeGreaterThan(8);
    for (const number of numbers) expect(number).toBeLessThanOrEqual(Number.MAX_SAFE_INTEGER);
  });

  it('ignores and reports invalid entries and keeps the rest', () => {
    const unreadable: string[] = [];
    const config = decodeConfig(
      bytesOf({ version: 3, routes: [route, { ...route, kind: 'odd' }, 5], services: [{}] }),
      (what) => unreadable.push(what),
    );
    expect(config.routes).toHaveLength(1);
    expect(config.routes[0]).toMatchObject({ kind: RequestKind.AtMostOnce, host: 'shop.example' });
    expect(unreadable).toEqual(['route 1', 'route 2', 'service 0']);
  });

  it.each([
    [undefined, undefined],
    [{}, { stride: 1, tokenBytes: undefined }],
    [
      { slots: 8, stride: 4, kv_capacity: 9, kv_token_bytes: 512 },
      { stride: 4, tokenBytes: 512 },
    ],
    [{ stride: 'many' }, undefined],
    [7, undefined],
  ])('reads the engine entry %j, and keeps the service if it cannot', (engine, expected) => {
    const record = { version: 3, routes: [], services: [{ name: 'orders', engine }] };
    const { services } = decodeConfig(bytesOf(record), () => undefined);
    expect(services).toHaveLength(1);
    expect(services[0]?.engine).toEqual(expected);
  });

  // The last workspace was taken away, and requests ran without a key.
  it.each([
    ['no list of workspaces', undefined, false],
    ['an empty list', [], true],
    ['a list of which nothing can be read', [7], true],
  ])('knows whether keys are required: %s', (_kind, tenants, requiresKeys) => {
    const record = { version: 3, routes: [], services: [], tenants };
    expect(decodeConfig(bytesOf(record), () => undefined)).toMatchObject({ requiresKeys });
  });

  it('rejects a record without a version, so that the previous one stays in force', () => {
    expect(() => decodeConfig(bytesOf({ routes: [], services: [] }), () => undefined)).toThrow();
    expect(() => decodeConfig(Buffer.from('{'), () => undefined)).toThrow();
  });
});

describe('HeaderCodec', () => {
  const codec = new HeaderCodec();

  it('takes a load beyond all bounds for none, as its score spoils the choice among all endpoints', () => {
    const loadOf = (text: string) =>
      codec.describeResponse(200, { 'oriolestack-server-load': text }).load;
    expect(loadOf('3,0,8')).toEqual({ runningRequests: 3, queuedRequests: 0 });
    for (const text of ['1e300,0,8', '0,1e308,8', '-1,0', 'x,y'])
      expect(loadOf(text)).toBeUndefined();
  });

  it('reads the service time of an endpoint, if it states one that can be', () => {
    const percentOf = (text: string) =>
      codec.describeResponse(200, { 'oriolestack-server-load': text }).load?.serviceTimePercent;
    expect(percentOf('3,0,8,250')).toBe(250);
    for (const text of ['3,0,8', '3,0,8,', '3,0,8,0', '3,0,8,-5', '3,0,8,slow', '3,0,8,Infinity'])
      expect(percentOf(text), text).toBeUndefined();
  });

  it('reads the hint for the length of the output, and ignores one that is none', () => {
    const hintOf = (text: string) =>
      codec.describe({ 'oriolestack-request-id': 'r', 'oriolestack-length-hint': text })
        .lengthHintTokens;
    expect(hintOf('120')).toBe(120);
    for (const text of ['0', '-3', 'many', 'NaN', '1e999'])
      expect(hintOf(text), text).toBeUndefined();
  });

  // One such number made the counts of the workspace infinite at all daemons, for good, and their samples
  // unreadable for each other.
  it.each([
    ['1e308,1e308', ''],
    ['1e999,1', ''],
    ['Infinity,0', ''],
    ['16777216,1', ''],
    ['1460,80', '5c1e:2000000000,e440:250'],
    ['1460,80', '5c1e:1e999'],
    ['1460,80', '5c1e:9000000,91bd:9000000'],
  ])('marks a request of %s tokens with the parts %j, and cuts its numbers', (usage, parts) => {
    const description = codec.describe({
      'oriolestack-request-id': 'r',
      'oriolestack-token-usage': usage,
      'oriolestack-prompt-prefix': parts,
    });
    expect(description.isOversized).toBe(true);
    const { promptTokens = 0, maxOutputTokens, promptParts } = description;
    for (const tokens of [promptTokens, maxOutputTokens, ...promptParts.map((part) => part.tokens)])
      expect(tokens).toBeLessThanOrEqual(maxRequestTokens + 1);
  });

  it('reads no service time or hint beyond all bounds', () => {
    const response = codec.describeResponse(200, { 'oriolestack-server-load': '3,0,8,1e300' });
    expect(response.load).toEqual({ runningRequests: 3, queuedRequests: 0 });
    const request = { 'oriolestack-request-id': 'r', 'oriolestack-length-hint': '1e300' };
    expect(codec.describe(request).lengthHintTokens).toBeUndefined();
  });

  it('reads prompts, estimates and keys, and accepts any text in their place', () => {
    expect(
      codec.describe({
        'oriolestack-request-id': 'r',
        'oriolestack-token-usage': '1460,80',
        'oriolestack-prompt-prefix': '5c1e:800, 91bd:410,e440:250',
        authorization: 'Bearer key',
      }),
    ).toMatchObject({
      promptTokens: 1_460,
      maxOutputTokens: 80,
      callerKey: 'key',
      promptParts: [
        { id: '5c1e', tokens: 800 },
        { id: '91bd', tokens: 410 },
        { id: 'e440', tokens: 250 },
      ],
    });
    fc.assert(
      fc.property(fc.string(), (text) => {
        const { promptTokens = 0, promptParts } = codec.describe({
          'oriolestack-request-id': 'r',
          'oriolestack-token-usage': text,
          'oriolestack-prompt-prefix': text,
        });
        expect(promptTokens).toBeGreaterThanOrEqual(0);
        for (const { tokens } of promptParts) expect(tokens).toBeGreaterThanOrEqual(0);
      }),
    );
  });

  // A quarter of a second for one header of 16 KB, in which nobody else was answered.
  it('splits the connection header in a time that grows with its length', () => {
    const leastMs = (spaces: number): number => {
      const connection = `a${' '.repeat(spaces)}b`;
      const times = Array.from({ length: 20 }, () => {
        const startedAtMs = performance.now();
        codec.responseHeaders({ connection, 'x-kept': '2' });
        return performance.now() - startedAtMs;
      });
      return Math.min(...times);
    };
    // Four times in proportion, sixteen times as the square.
    expect(leastMs(40_000) / leastMs(10_000)).toBeLessThan(9);
  });

  it('keeps the headers that the connection header does not name, whatever it holds', () => {
    const name = fc.constantFrom('x-a', 'x-b', 'x-c', '', ' ', 'x-a x-b');
    fc.assert(
      fc.property(fc.array(fc.tuple(name, fc.constantFrom('', ' ', '\t '))), (entries) => {
        const connection = entries.map(([text, space]) => `${space}${text}${space}`).join(',');
        const kept = codec.responseHeaders({ connection, 'x-a': '1', 'x-b': '2' });
        const isNamed = (text: string): boolean => entries.some(([entry]) => entry === text);
        expect(Object.hasOwn(kept, 'x-a')).toBe(!isNamed('x-a'));
        expect(Object.hasOwn(kept, 'x-b')).toBe(!isNamed('x-b'));
      }),
    );
  });

  it('drops headers that the connection header names', () => {
    const forwarded = codec.forwardedHeaders(
      { connection: 'close, x-hop', 'x-hop': '1', 'x-kept': '2' },
      {
        workspaceName: undefined,
        instanceId: 'i-1',
        remainingMs: 10,
        priority: undefined,
        lastEventId: undefined,
      },
    );
    expect(forwarded).toEqual({
      'x-kept': '2',
      'oriolestack-deadline-ms': '10',
      'oriolestack-expect-instance': 'i-1',
    });
  });
});

describe('records of the store', () => {
  it('are decoded as they were encoded, also when the last one is truncated', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.string({ maxLength: 20 }), fc.uint8Array({ minLength: 1 }))),
        fc.nat(20),
        (pairs, cutBytes) => {
          const bytes = Buffer.concat(pairs.map(([key, value]) => encodeRecord(key, value)));
          const whole = decodeRecords(bytes, 7);
          expect(whole.map(({ key, value }) => [key, [...value!]])).toEqual(
            pairs.map(([key, value]) => [key, [...value]]),
          );
          expect(whole.map(({ offset }) => offset)).toEqual(pairs.map((_, index) => 7 + index));
          const cut = decodeRecords(bytes.subarray(0, Math.max(0, bytes.length - cutBytes)), 7);
          expect(cut).toEqual(whole.slice(0, cut.length));
        },
      ),
    );
  });

  it('without a value mark a removed key', () => {
    expect(decodeRecords(encodeRecord('gone', Buffer.alloc(0)), 0)).toEqual([
      { key: 'gone', value: undefined, offset: 0 },
    ]);
  });
});

describe('parseNodeSettings', () => {
  it('names the missing line', () => {
    expect(() => parseNodeSettings('region=x\n')).toThrow(/node_name/);
  });

  describe('limits of the machine', () => {
    const required = [
      'node_name=front-1',
      'region=here',
      'zone=here-a',
      'listen.front=127.0.0.1:80',
      'listen.ready=127.0.0.1:81',
      'internal_port_range=17600,17615',
      'platform.address=127.0.0.1:82',
    ];
    const limitsOf = (...lines: string[]): object => {
      const { memoryBytes, maxOpenFiles } = parseNodeSettings([...required, ...lines].join('\n'));
      return { memoryBytes, maxOpenFiles };
    };

    it('are taken from the settings, memory in bytes', () => {
      expect(limitsOf('limits.memory_mb=350', 'limits.max_fds=2212')).toEqual({
        memoryBytes: 350_000_000,
        maxOpenFiles: 2_212,
      });
    });

    // A bound of zero would refuse every caller.
    it.each([[], ['limits.memory_mb=0', 'limits.max_fds=none']])(
      'are left to the defaults where there are none: %s',
      (...lines) => {
        expect(limitsOf(...lines)).toEqual({ memoryBytes: undefined, maxOpenFiles: undefined });
      },
    );
  });
});
