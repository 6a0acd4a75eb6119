import { z } from 'zod';
import {
  SectionKind,
  SettingsPath,
  endpointSchema,
  type Deployment,
  type EndpointSettings,
  type Section,
} from '../settings/index.js';

/** Fields of a VM in the cloud's list from which a daemon derives its endpoints. */
export const createdVmSchema = z.object({
  vmId: z.string(),
  startedAtMs: z.number(),
  /** `team/service`. */
  serviceId: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  vmClass: z.string(),
  reclaimable: z.boolean(),
  priceUsdPerHour: z.number(),
  baseUrls: z.array(z.string()),
});

/** See {@link createdVmSchema}. */
export type CreatedVm = z.output<typeof createdVmSchema>;

/**
 * Endpoints of the VMs in the cloud's list that no setting names. The endpoint at base URL `i` of a
 * VM, counted from 1, is named `team/{vmId}-{i}`, so that all daemons give it the same name without
 * publishing one. Slots, fencing and role, which the list does not contain, are those of the
 * service's first configured endpoint.
 *
 * @param deploymentName - first part of the settings paths.
 */
export function createdEndpoints(
  vms: readonly CreatedVm[],
  deployment: Deployment,
  deploymentName: string,
): Section<EndpointSettings>[] {
  const configuredVms = new Set([...deployment.endpoints.values()].map((e) => e.values.vm_id));
  const templates = new Map<string, EndpointSettings | undefined>();
  return vms.flatMap((vm) => {
    const service = deployment.services.get(vm.serviceId);
    if (!service || configuredVms.has(vm.vmId)) return [];
    if (!templates.has(vm.serviceId)) {
      templates.set(vm.serviceId, deployment.endpointsForService(vm.serviceId)[0]?.values);
    }
    const template = templates.get(vm.serviceId);
    const { team } = service.path;
    return vm.baseUrls.flatMap((baseUrl, index) => {
      const name = `${vm.vmId}-${index + 1}`;
      const path = SettingsPath.tryParse(
        `${deploymentName}/${team}/${SectionKind.Endpoints}/${name}`,
      );
      if (!path) return [];
      const values = endpointSchema.parse({
        service: service.path.name,
        base_url: baseUrl,
        region: vm.region,
        failure_domain: vm.failureDomain,
        vm_id: vm.vmId,
        vm_class: vm.vmClass,
        reclaimable: String(vm.reclaimable),
        price_usd_per_hour: String(vm.priceUsdPerHour),
        ...(template && {
          batch_slots: String(template.batch_slots),
          checks_fence: String(template.checks_fence),
          role: template.role,
        }),
      });
      return [{ id: path.qualifiedName, path, values }];
    });
  });
}
