import {
  essentialTrace,
  parseLogLine,
  traceRequest,
  type TracedLine,
} from '../../telemetry/index.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { CtlError } from '../ctl-error.js';
import { ExitCode } from '../exit-code.js';
import { renderJson } from '../output.js';

/** `oriolectl trace`: what became of a request, from logs alone; needs no connection. */
export const traceCommand = ctlCommand({
  name: 'trace',
  description: 'Show what became of a request and why, from the logs of the daemons.',
  examples: [
    'oriolectl trace be98e391781edea9 front-1.log front-2.log',
    'cat *.log | oriolectl trace be98e391781edea9 -',
  ],
  takesMore: true,
  args: {
    id: { type: 'positional', description: 'id that the caller gave the request', required: true },
    file: {
      type: 'positional',
      description: 'log file, or - for standard input',
      required: true,
    },
    around: {
      type: 'boolean',
      description: 'also show what else happened to its daemons and duties at that time',
      default: false,
    },
    ...jsonArg,
  },
  async run(context, args) {
    const [, ...files] = args._;
    const contents = await Promise.all(files.map((file) => context.readFile(file)));
    const lines = contents
      .flatMap((content) => Buffer.from(content).toString().split('\n'))
      .map(parseLogLine)
      .filter((line) => line !== undefined);
    const whole = traceRequest(lines, args.id);
    const trace = args.around ? whole : essentialTrace(whole);
    if (trace.length === 0) {
      throw new CtlError(
        ExitCode.NotFound,
        `no line names request "${args.id}"; a request that its first endpoint served leaves none, ` +
          'otherwise give the logs of all daemons',
      );
    }
    context.out(args.json ? renderJson(trace) : trace.map(renderLine).join(''));
    return ExitCode.Success;
  },
});

/** Fields that the line shows otherwise or that say nothing about the cause. */
const hiddenFields = new Set(['requestId', 'stack', 'logLevel']);

function renderLine({ relation, line, count }: TracedLine): string {
  const { atMs, daemon, eventName, message, fields } = line;
  const time = new Date(atMs).toISOString().slice(11, 23);
  const shown = Object.entries(fields)
    .filter(([name]) => !hiddenFields.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  const times = count > 1 ? ` (${count} times)` : '';
  return `${time} ${relation.padEnd(8)} ${daemon} ${eventName}${times}: ${message} [${shown.join(', ')}]\n`;
}
