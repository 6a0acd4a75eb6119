import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import type { RelayTask, RelayUsage } from './relay-child.js';

/** A relay in a process of its own, so that its processor time is measured alone. @internal */
export class RelayProcess {
  readonly #child: ChildProcess;
  readonly url: string;

  private constructor(child: ChildProcess, url: string) {
    this.#child = child;
    this.url = url;
  }

  static async start(task: RelayTask): Promise<RelayProcess> {
    const child = fork(fileURLToPath(new URL('./relay-child.js', import.meta.url)), {
      execArgv: ['--expose-gc'],
      stdio: ['ignore', 'ignore', 'ignore', 'ipc'],
    });
    child.send(task);
    const [answer] = (await once(child, 'message')) as [{ url: string }];
    return new RelayProcess(child, answer.url);
  }

  /** Processor time so far and memory after a collection. */
  async usage(): Promise<RelayUsage> {
    this.#child.send('usage');
    const [answer] = (await once(this.#child, 'message')) as [RelayUsage];
    return answer;
  }

  async stop(): Promise<void> {
    const exited = once(this.#child, 'exit');
    this.#child.kill('SIGKILL');
    await exited;
  }
}
