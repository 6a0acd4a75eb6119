import { RequestError, Step, type Clock } from '../core/index.js';
import { JobFrameKind, type JobFrame } from '../jobs/index.js';
import type { LengthPrediction } from '../admission/index.js';
import { callerRefusal } from './caller-refusal.js';
import { CallerRoute, type CallerRequest } from './caller-server.js';
import { ChatContext, RequestContext } from './request-context.js';
import type { AuthenticateStage } from './authenticate-stage.js';
import type { Pipeline } from './stage.js';

/** A job as returned by the jobs API. */
export interface JobView {
  readonly jobId: string;
  readonly workspace: string;
  readonly status: string;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  readonly lengthChars: number;
  readonly finishReason: string | null;
}

/** Accepts, reads and cancels jobs. */
export abstract class JobHandler {
  /**
   * Records a job.
   *
   * @returns the id of the job.
   * @throws RequestError when the job was not recorded, or possibly not recorded.
   */
  abstract accept(context: ChatContext, prediction: LengthPrediction): Promise<string>;
  abstract get(jobId: string): Promise<JobView | undefined>;
  abstract cancel(jobId: string): Promise<JobView | undefined>;
  abstract read(jobId: string, offset: number, signal: AbortSignal): AsyncIterable<JobFrame>;
}

/** Options of {@link JobsRoute}. */
export interface JobsRouteOptions {
  readonly authenticate: AuthenticateStage;
  /** Authenticates, parses and classifies the request for a new job. */
  readonly pipeline: Pipeline<ChatContext>;
  readonly handler: JobHandler;
  readonly clock: Clock;
}

const pathPattern = /^\/v1\/jobs(?:\/([\w-]{1,100})(\/stream)?)?$/;
const heartbeatIntervalMs = 5_000;

/**
 * The jobs API: `POST /v1/jobs` accepts a chat request as a job, `GET /v1/jobs/{id}` returns its
 * state, `GET /v1/jobs/{id}/stream?offset=N` streams its text, and `DELETE /v1/jobs/{id}` cancels
 * it.
 */
export class JobsRoute extends CallerRoute {
  readonly #options: JobsRouteOptions;

  constructor(options: JobsRouteOptions) {
    super();
    this.#options = options;
  }

  override matches(_method: string, path: string): boolean {
    return pathPattern.test(path);
  }

  override async handle(incoming: CallerRequest): Promise<void> {
    const [, jobId, stream] = pathPattern.exec(incoming.path) ?? [];
    const method = incoming.request.method ?? '';
    if (jobId === undefined) {
      if (method !== 'POST') throw methodNotAllowed(method, 'POST');
      await this.#accept(incoming);
      return;
    }
    const context = new RequestContext(incoming);
    await this.#options.authenticate.run(context);
    const job = await this.#findJob(context, jobId);
    if (stream !== undefined) {
      if (method !== 'GET') throw methodNotAllowed(method, 'GET');
      await this.#stream(context, jobId);
    } else if (method === 'DELETE') {
      sendJob(context, 200, (await this.#options.handler.cancel(jobId)) ?? job);
    } else if (method === 'GET') {
      sendJob(context, 200, job);
    } else {
      throw methodNotAllowed(method, 'GET, DELETE');
    }
  }

  async #accept(incoming: CallerRequest): Promise<void> {
    const { pipeline, handler } = this.#options;
    const context = new ChatContext(incoming);
    await pipeline.run(context);
    if (!context.call.isResumable) {
      throw refusal(400, 'not_resumable', 'a job takes plain text messages without tools', {
        next: 'Send the request to /v1/chat/completions instead.',
      });
    }
    const jobId = await handler.accept(context, context.prediction);
    context.response.writeHead(202, {
      'content-type': 'application/json',
      location: `/v1/jobs/${jobId}`,
      'x-request-id': context.requestId,
    });
    context.response.end(
      JSON.stringify({
        id: jobId,
        object: 'job',
        status: 'active',
        deadline: new Date(context.call.deadlineAtMs).toISOString(),
        stream: `/v1/jobs/${jobId}/stream?offset=0`,
      }),
    );
  }

  /** Finds a job of the caller's workspace. Jobs of other workspaces are reported as unknown. */
  async #findJob(context: RequestContext, jobId: string): Promise<JobView> {
    const job = await this.#options.handler.get(jobId);
    if (job?.workspace === context.caller.workspace.id) return job;
    throw refusal(404, 'unknown_job', `there is no job ${jobId}`, {
      next: 'Check the id; finished jobs are forgotten after remember_ms.',
    });
  }

  async #stream(context: RequestContext, jobId: string): Promise<void> {
    const { response } = context;
    const query = new URL(context.request.url ?? '', 'http://caller').searchParams;
    const offset = Number(query.get('offset') ?? 0);
    if (!Number.isSafeInteger(offset) || offset < 0) {
      throw refusal(400, 'invalid_offset', 'offset is not a whole number of characters', {
        next: 'Send the number of characters received so far.',
      });
    }
    response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      'x-request-id': context.requestId,
    });
    response.flushHeaders();
    const stopHeartbeat = this.#options.clock.every(heartbeatIntervalMs, () => {
      response.write(': heartbeat\n\n');
    });
    try {
      for await (const frame of this.#options.handler.read(
        jobId,
        offset,
        context.disconnectSignal,
      )) {
        if (!response.write(encodeFrame(frame)))
          await waitForDrain(response, context.disconnectSignal);
      }
    } finally {
      stopHeartbeat();
      response.end();
    }
  }
}

function encodeFrame(frame: JobFrame): string {
  if (frame.kind === JobFrameKind.Text) {
    const { jobId, generation, offset, text } = frame;
    return `event: text\ndata: ${JSON.stringify({ job: jobId, generation, offset, text })}\n\n`;
  }
  const { jobId, generation, lengthChars, digest, finishReason } = frame;
  const end = {
    job: jobId,
    generation,
    length_chars: lengthChars,
    sha256: digest,
    finish_reason: finishReason,
  };
  return `event: end\ndata: ${JSON.stringify(end)}\n\n`;
}

function waitForDrain(response: ChatContext['response'], signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    response.once('drain', resolve);
    signal.addEventListener(
      'abort',
      () => {
        resolve();
      },
      { once: true },
    );
  });
}

function sendJob(context: RequestContext, status: number, job: JobView): void {
  context.response.writeHead(status, { 'content-type': 'application/json' });
  context.response.end(
    JSON.stringify({
      id: job.jobId,
      object: 'job',
      status: job.status,
      accepted: new Date(job.acceptedAtMs).toISOString(),
      deadline: new Date(job.deadlineAtMs).toISOString(),
      length_chars: job.lengthChars,
      finish_reason: job.finishReason,
    }),
  );
}

function methodNotAllowed(method: string, allowed: string): RequestError {
  return refusal(405, 'method_not_allowed', `${method} is not served here`, {
    next: `Use ${allowed}.`,
  });
}

function refusal(
  status: number,
  code: string,
  message: string,
  detail: { readonly next: string },
): RequestError {
  return callerRefusal(Step.Job, status, code, message, detail.next);
}
