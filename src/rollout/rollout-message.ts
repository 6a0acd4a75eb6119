import { z } from 'zod';
import { rolloutReportSchema } from './rollout-report.js';
import { rolloutStateSchema } from './rollout-state.js';

/** Longest address of a daemon in a message. */
const maxAddressChars = 100;

export const rolloutMessageSchema = z.object({
  /** The holder of the duties confirms a state. */
  confirmed: z
    .object({
      state: rolloutStateSchema,
      /** Share that is in force now, at most that of the state. */
      share: z.number().min(0).max(1),
      /** Where the holder receives reports, as host:port. */
      address: z.string().max(maxAddressChars),
    })
    .optional(),
  /** What a daemon reports to the holder. */
  report: rolloutReportSchema.optional(),
});

/** What daemons tell each other of a rollout by datagram. */
export type RolloutMessage = Readonly<z.output<typeof rolloutMessageSchema>>;
