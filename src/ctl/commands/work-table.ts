import type { WorkItem } from '../../admin-api/index.js';
import { formatTime, renderTable } from '../output.js';

/** Jobs and calls as a table. */
export function renderWorkTable(items: readonly WorkItem[]): string {
  return renderTable(
    [
      'id',
      'kind',
      'state',
      'workspace',
      'service',
      'class',
      'accepted',
      'deadline',
      'owner',
      'recorded tokens',
      'note',
    ],
    items.map((item) => [
      item.id,
      item.kind,
      item.state,
      item.workspaceId,
      item.serviceId,
      item.workClass ?? '-',
      formatTime(item.acceptedAtMs),
      formatTime(item.deadlineAtMs),
      item.owner,
      item.recordedTokens === null ? '-' : String(item.recordedTokens),
      item.note,
    ]),
  );
}
