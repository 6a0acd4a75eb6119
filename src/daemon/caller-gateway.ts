import type { Clock, IdSource } from '../core/index.js';
import {
  AdmitStage,
  AuthenticateStage,
  CallerServer,
  ChatRoute,
  ClassifyStage,
  GenerateStage,
  GenerationRelay,
  HealthRoute,
  JobsRoute,
  ModelsRoute,
  ParseChatStage,
  Pipeline,
  ServiceRoute,
  type ChatContext,
} from '../pipeline/index.js';
import type { EventLog, Metrics } from '../telemetry/index.js';
import { CallAccounts, FailureAccounts, RequestAccounts } from './accounts.js';
import type { DaemonParts } from './daemon-parts.js';
import { DaemonJobDesk } from './job-desk.js';

/** Options of {@link createCallerServer}. */
export interface CallerGatewayOptions {
  readonly isReady: () => boolean;
  readonly clock: Clock;
  readonly newId: IdSource;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** Price assumed of engine time: an engine VM of 1 USD/h at 1,000 tokens a second. */
const usdPerThousandTokens = 1 / 3_600;

/** Puts the stages of each route together, in the order in which a request passes them. */
export function createCallerServer(
  options: CallerGatewayOptions,
  parts: DaemonParts,
): CallerServer {
  const { clock, events, metrics, newId } = options;
  const { admission, lengths, hedges, retryBudget, burn, selector, retries } = parts;
  const authenticate = new AuthenticateStage(parts.keys);
  const parse = new ParseChatStage(clock);
  const classify = new ClassifyStage(lengths);
  const admit = new AdmitStage({
    admission,
    clock,
    usdPerThousandTokens: () => usdPerThousandTokens,
  });
  const generate = new GenerateStage({
    relay: new GenerationRelay({ selector, retries, clock, hedges }),
    accounts: new RequestAccounts({ lengths, burn, retryBudget, hedges, events, metrics }),
    clock,
  });
  return new CallerServer({
    routes: [
      new ChatRoute(new Pipeline<ChatContext>([authenticate, parse, classify, admit, generate])),
      new ModelsRoute(authenticate),
      new JobsRoute({
        authenticate,
        intake: new Pipeline<ChatContext>([authenticate, parse, classify]),
        desk: new DaemonJobDesk(parts.jobs),
        clock,
      }),
      new ServiceRoute({
        authenticate,
        admission,
        desk: parts.services,
        accounts: new CallAccounts(burn),
        clock,
      }),
      new HealthRoute(options.isReady),
    ],
    deployment: () => parts.deployment,
    observer: new FailureAccounts(events, metrics, burn),
    clock,
    newId,
  });
}
