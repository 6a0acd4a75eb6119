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
import { ServiceCallRecorder, FailureRecorder, ChatRecorder } from './request-recorders.js';
import type { DaemonComponents } from './daemon-components.js';
import { DaemonJobHandler } from './daemon-job-handler.js';

/** Options of {@link createCallerServer}. */
export interface CreateCallerServerOptions {
  readonly isReady: () => boolean;
  readonly clock: Clock;
  readonly newId: IdSource;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** Assumed price of engine time: an engine VM of 1 USD/h that generates 1,000 tokens/s. */
const usdPerThousandTokens = 1 / 3_600;

/** Creates the caller server, with the stages of each route in the order in which they run. */
export function createCallerServer(
  options: CreateCallerServerOptions,
  components: DaemonComponents,
): CallerServer {
  const { clock, events, metrics, newId } = options;
  const { admission, lengths, hedges, retryBudget, burn, selector, retries } = components;
  const authenticate = new AuthenticateStage(components.keys);
  const parse = new ParseChatStage(clock);
  const classify = new ClassifyStage(lengths);
  const admit = new AdmitStage({
    admission,
    clock,
    usdPerThousandTokens: () => usdPerThousandTokens,
  });
  const generate = new GenerateStage({
    relay: new GenerationRelay({ selector, retries, clock, hedges }),
    observer: new ChatRecorder({ lengths, burn, retryBudget, hedges, events, metrics }),
    clock,
  });
  return new CallerServer({
    routes: [
      new ChatRoute(new Pipeline<ChatContext>([authenticate, parse, classify, admit, generate])),
      new ModelsRoute(authenticate),
      new JobsRoute({
        authenticate,
        pipeline: new Pipeline<ChatContext>([authenticate, parse, classify]),
        handler: new DaemonJobHandler(components.jobs),
        clock,
      }),
      new ServiceRoute({
        authenticate,
        admission,
        handler: components.serviceCalls,
        observer: new ServiceCallRecorder(burn),
        clock,
      }),
      new HealthRoute(options.isReady),
    ],
    deployment: () => components.deployment,
    observer: new FailureRecorder(events, metrics, burn),
    clock,
    newId,
  });
}
