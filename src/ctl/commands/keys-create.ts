import { createBearerKey, formatBearerKey, hashSecret, SigningKey } from '../../security/index.js';
import { formatSettings, isSettingsName, KeyKind } from '../../settings/index.js';
import { ctlCommand, jsonArg } from '../ctl-command.js';
import { CtlError } from '../ctl-error.js';
import { ExitCode } from '../exit-code.js';
import { renderJson } from '../output.js';

/** `oriolectl keys create`: a new key and the settings section for it. Needs no connection. */
export const keysCreateCommand = ctlCommand({
  name: 'keys create',
  description: 'Create a key: the secret goes to a file, the settings section to the output.',
  examples: [
    'oriolectl keys create prod/tejidos/counter --kind caller --workspace tenders --out counter.key',
    'oriolectl keys create prod/tejidos/ops --kind operator --scope prod/tejidos --out ops.key',
    'oriolectl keys create root --kind root --out root.key',
  ],
  args: {
    name: { type: 'positional', description: 'deployment/team/name, or root', required: true },
    kind: {
      type: 'enum',
      description: 'who uses the key',
      options: [KeyKind.Caller, KeyKind.Operator, 'root'] as string[],
      required: true,
    },
    out: {
      type: 'string',
      description: 'new file for the secret, readable by you only',
      required: true,
      valueHint: 'file',
    },
    workspace: { type: 'string', description: "workspace of a caller's key", valueHint: 'name' },
    scope: {
      type: 'string',
      description: "path prefix of an operator's key",
      valueHint: 'prefix',
    },
    ...jsonArg,
  },
  async run(context, args) {
    if (args.kind === 'root') {
      if (args.name !== 'root') throw usage('a root key is named "root"');
      const key = createBearerKey('root');
      const { publicKey } = SigningKey.fromSecret(key.secret);
      await context.writeFile(args.out, `${formatBearerKey(key)}\n`, true);
      context.out(
        args.json ? renderJson({ rootPublicKey: publicKey }) : `root_public_key = ${publicKey}\n`,
      );
      context.err(`the secret is in ${args.out}; put the line above into every daemon's file\n`);
      return ExitCode.Success;
    }
    const parts = args.name.split('/');
    const [deployment, team, name] = parts;
    if (parts.length !== 3 || !parts.every(isSettingsName) || !deployment || !team || !name) {
      throw usage(`"${args.name}" is not deployment/team/name`);
    }
    const kind = args.kind === 'caller' ? KeyKind.Caller : KeyKind.Operator;
    const key = createBearerKey(`${team}/${name}`);
    const section: Record<string, string> = {
      kind,
      secret_hash: await hashSecret(key.secret),
    };
    if (kind === KeyKind.Caller) {
      if (args.workspace === undefined) throw usage("a caller's key needs --workspace");
      section.workspace = args.workspace;
    } else {
      if (args.scope === undefined) throw usage("an operator's key needs --scope");
      section.scope = args.scope;
      section.signing_public_key = SigningKey.fromSecret(key.secret).publicKey;
    }
    const path = `${deployment}/${team}/keys/${name}`;
    await context.writeFile(args.out, `${formatBearerKey(key)}\n`, true);
    const sections = new Map([[path, section]]);
    context.out(args.json ? renderJson({ path, values: section }) : formatSettings(sections));
    context.err(
      `the secret is in ${args.out}; publish the section above with \`oriolectl settings apply\`\n`,
    );
    return ExitCode.Success;
  },
});

function usage(message: string): CtlError {
  return new CtlError(ExitCode.Usage, `${message}; see \`oriolectl keys create --help\``);
}
