import type { Clock } from '../core/index.js';
import type { AdminClient } from './admin-client.js';
import type { Connection } from './connection.js';
import type { SettingsSession } from './settings-session.js';

/** Everything outside a command that it reads or changes; tests hand in fakes. */
export abstract class CommandContext {
  abstract readonly clock: Clock;
  abstract readonly env: Readonly<Record<string, string | undefined>>;

  /** Writes to standard output: the answer, for a person or a script. */
  abstract out(text: string): void;

  /** Writes to standard error: progress, warnings and errors. */
  abstract err(text: string): void;

  /** Reads a file; `-` is standard input. */
  abstract readFile(path: string): Promise<Uint8Array>;

  /**
   * Writes a file.
   *
   * @param secret - readable by its owner only; an existing file is not overwritten.
   */
  abstract writeFile(path: string, text: string, secret: boolean): Promise<void>;

  /** Client of the administration API. @throws CtlError (usage) when the address is not given. */
  abstract openAdmin(connection: Connection): Promise<AdminClient>;

  /** Settings as the log has them. @throws CtlError when the log cannot be read. */
  abstract openSettings(connection: Connection): Promise<SettingsSession>;
}
