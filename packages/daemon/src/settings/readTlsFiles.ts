/** Reads the files that TLS needs, and finds out early whether they fit. */
import { createSecureContext } from 'node:tls';
import { getErrorMessage } from '@snipehaven/common';
import { SettingsError } from './errors.js';
import { readText } from './readText.js';
import type { PeerTlsSettings, TlsSettings } from './settingsSchema.js';

/** PEM texts of a listener. */
export interface TlsFiles {
  readonly cert: string;
  readonly key: string;
}

/** What peers are checked against. */
export interface PeerTlsFiles {
  readonly ca: string;
  readonly serverName: string;
}

const PEM_CERTIFICATE = '-----BEGIN CERTIFICATE-----';

const readPem = (field: string, file: string, mark: string): string => {
  const text = readText(field, file);
  if (!text.includes(mark)) {
    throw new SettingsError([`${field}: ${file}: expected PEM with ${mark}`]);
  }
  return text;
};

/** Reads certificate and key of a listener; throws `SettingsError` where they do not fit together. */
export const readTlsFiles = (field: string, tls: TlsSettings): TlsFiles => {
  const cert = readPem(`${field}.certFile`, tls.certFile, PEM_CERTIFICATE);
  const key = readPem(`${field}.keyFile`, tls.keyFile, 'PRIVATE KEY-----');
  try {
    createSecureContext({ cert, key });
  } catch (error) {
    const message = `${field}: expected a certificate and its key: ${getErrorMessage(error)}`;
    throw new SettingsError([message], { cause: error });
  }
  return { cert, key };
};

/** Reads the authority that signs the certificates of the daemons. */
export const readPeerTlsFiles = (field: string, tls: PeerTlsSettings): PeerTlsFiles => ({
  ca: readPem(`${field}.caFile`, tls.caFile, PEM_CERTIFICATE),
  serverName: tls.serverName,
});
