import type { StringArgDef } from 'citty';
import { withoutTrailingSlashes } from '../core/trailing-slashes.js';
import { CtlError } from './ctl-error.js';
import { ExitCode } from './exit-code.js';

/** How to reach the deployment, from options or environment variables. */
export interface Connection {
  readonly adminUrl: string | undefined;
  readonly logUrl: string | undefined;
  readonly deployment: string | undefined;
  readonly rootPublicKey: string | undefined;
  readonly keyFile: string | undefined;
  readonly caFile: string | undefined;
  readonly timeoutMs: number;
}

const defaultTimeoutMs = 30_000;

function option(name: string, description: string, valueHint: string): StringArgDef {
  return { type: 'string', description: `${description} [${variableOf(name)}]`, valueHint };
}

/** Options that every command which talks to the deployment takes. */
export const connectionArgs = {
  'admin-url': option('admin-url', 'administration API of any daemon', 'url'),
  'log-url': option('log-url', 'log service', 'url'),
  deployment: option('deployment', 'name of the deployment', 'name'),
  'root-public-key': option('root-public-key', "public key of the deployment's root key", 'base64'),
  'key-file': option('key-file', "file with the operator's key", 'file'),
  'ca-file': option('ca-file', "authority of the daemons' certificates, PEM", 'file'),
  'timeout-ms': option('timeout-ms', 'longest wait in milliseconds, default 30000', 'ms'),
} as const;

/** Environment variable that stands in for an option. */
export function variableOf(name: string): string {
  return `ORIOLECTL_${name.toUpperCase().replaceAll('-', '_')}`;
}

/**
 * Resolves the connection; an option takes precedence over its variable.
 *
 * @throws CtlError (usage) when the timeout is not a number of milliseconds.
 */
export function connectionOf(
  args: Readonly<Record<string, unknown>>,
  env: Readonly<Record<string, string | undefined>>,
): Connection {
  const value = (name: keyof typeof connectionArgs): string | undefined => {
    const given = args[name];
    const text = typeof given === 'string' ? given : env[variableOf(name)];
    return text === '' ? undefined : text;
  };
  const timeout = value('timeout-ms');
  if (timeout !== undefined && !/^[1-9]\d{0,8}$/.test(timeout)) {
    throw new CtlError(ExitCode.Usage, `--timeout-ms "${timeout}" is not a number of milliseconds`);
  }
  return {
    adminUrl: urlOf(value('admin-url')),
    logUrl: urlOf(value('log-url')),
    deployment: value('deployment'),
    rootPublicKey: value('root-public-key'),
    keyFile: value('key-file'),
    caFile: value('ca-file'),
    timeoutMs: timeout === undefined ? defaultTimeoutMs : Number(timeout),
  };
}

/**
 * The value of a connection option that a command cannot do without.
 *
 * @throws CtlError (usage) that names the option and its variable.
 */
export function required(value: string | undefined, name: keyof typeof connectionArgs): string {
  if (value !== undefined) return value;
  throw new CtlError(ExitCode.Usage, `--${name} is needed; give it or set ${variableOf(name)}`);
}

function urlOf(text: string | undefined): string | undefined {
  return text === undefined ? undefined : withoutTrailingSlashes(text);
}
