/** Finds out what manifests would change, and writes them. */
import type { OperatorApi, SentManifest } from '../api/operatorApi.js';
import type { ApplyReply } from '../api/schemas.js';

/** Version 0 stands for "absent". */
const ABSENT = 0;

/**
 * Binds a manifest to the version present now. A later write by another operator then ends in a
 * conflict, instead of being overwritten unseen.
 */
const bindVersion = async (api: OperatorApi, manifest: SentManifest): Promise<SentManifest> => {
  if (manifest.resourceVersion !== undefined) {
    return manifest;
  }
  const present = await api.findResource(manifest.kind, manifest.name);
  return { ...manifest, resourceVersion: present?.metadata.resourceVersion ?? ABSENT };
};

/** Writes one manifest, or only tries it. */
export const writeManifest = async (
  api: OperatorApi,
  manifest: SentManifest,
  isDryRun: boolean,
): Promise<ApplyReply> => api.applyResource(await bindVersion(api, manifest), isDryRun);
