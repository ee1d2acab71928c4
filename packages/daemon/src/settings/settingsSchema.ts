/** The daemon's settings file: every field with its unit, default and meaning. */
import { z } from 'zod';

const ipAddress = z.union([z.ipv4(), z.ipv6()]);
const port = z.int().min(0).max(65_535);
const durationMs = z.int().positive();
const url = z.url({ protocol: /^https?$/ });

/** Where a secret comes from; it never stands in the file itself. */
const secretSchema = z.union([
  z.strictObject({
    env: z.string().min(1).describe('Environment variable that holds the secret.'),
  }),
  z.strictObject({ file: z.string().min(1).describe('File that holds the secret.') }),
]);

const tlsSchema = z.strictObject({
  certFile: z.string().min(1).describe('PEM file of the certificate chain.'),
  keyFile: z.string().min(1).describe('PEM file of the private key.'),
});

const peerTlsSchema = z.strictObject({
  caFile: z.string().min(1).describe('PEM file of the authority that signs the daemons.'),
  serverName: z
    .string()
    .min(1)
    .default('snipehaven')
    .describe('DNS name in the certificates of all daemons, whose IP numbers change.'),
});

const listenerSchema = z.strictObject({
  address: ipAddress.describe('IP number to listen on.'),
  port: port.describe('Port to listen on; 0 lets the system choose.'),
  tls: tlsSchema.optional().describe('TLS of the listener; plain HTTP without it.'),
});

const fileSchema = z.strictObject({
  vm: z.strictObject({
    name: z.string().min(1).describe('Name of the VM; a replacement may reuse it.'),
    dataCentre: z.string().min(1).describe('Data centre of the VM.'),
  }),
  listen: z.strictObject({
    callers: listenerSchema.describe('OpenAI-compatible API and plain services.'),
    operators: listenerSchema.describe('Resource API, metrics, health and readiness.'),
    peers: listenerSchema.describe('Inner protocol between daemons.'),
  }),
  platform: z.strictObject({
    tableUrl: url.describe('Transactional table service.'),
    objectStoreUrl: url.describe('Object store.'),
    vmListUrl: url.describe('List of live and leaving VMs.'),
    raterUrl: url.describe('Service that rates answers.'),
    weightStoreUrl: url.describe('Weight store.'),
    callTimeoutMs: durationMs.default(2_000).describe('Longest wait for one call.'),
  }),
  peers: z
    .strictObject({
      seeds: z
        .array(z.string())
        .default([])
        .describe('`ip:port` of inner protocols to join through.'),
      secret: secretSchema.describe('Shared secret of the daemons.'),
      previousSecret: secretSchema.optional().describe('Still accepted during a rotation.'),
      callTimeoutMs: durationMs.default(1_000).describe('Longest wait for one call of a peer.'),
      probeIntervalMs: durationMs.default(1_000).describe('Time between probes of members.'),
      tls: peerTlsSchema
        .optional()
        .describe('Peers are called by TLS; goes together with listen.peers.tls.'),
    })
    .describe('Other daemons.'),
  sessions: z.strictObject({
    key: secretSchema.describe('Signs session tokens; at least 16 bytes.'),
    keyId: z.string().default('1').describe('Name of the key, to tell it from the previous one.'),
    previousKey: secretSchema.optional().describe('Still honoured during a rotation.'),
    previousKeyId: z.string().default('0').describe('Name of the previous key.'),
  }),
  operators: z.strictObject({
    tokens: z
      .array(
        z.strictObject({
          name: z.string().min(1).describe('Name of the operator, kept with what was done.'),
          sha256: z
            .string()
            .regex(/^[0-9a-f]{64}$/, 'must be 64 lower-case hex digits')
            .describe('SHA-256 of the token.'),
          role: z.enum(['read', 'write']).describe('Whether the operator may change anything.'),
        }),
      )
      .default([])
      .describe('Credentials of operators, as SHA-256 of the token.'),
  }),
  requests: z
    .strictObject({
      maxBodyBytes: z.int().positive().default(4_194_304).describe('Largest body of a request.'),
      maxHeaderBytes: z.int().positive().default(16_384).describe('Longest headers of a request.'),
      bodyTimeoutMs: durationMs.default(10_000).describe('Longest wait for a body to arrive.'),
      readTimeoutMs: durationMs
        .default(30_000)
        .describe('Longest pause of a caller in reading; after it the caller counts as gone.'),
      defaultDeadlineMs: durationMs.default(120_000).describe('Deadline without the header.'),
      maxDeadlineMs: durationMs.default(600_000).describe('Latest deadline that a caller may ask.'),
      firstByteTimeoutMs: durationMs
        .default(4_000)
        .describe('Silence before a run is resumed on a new connection.'),
      betweenChunksTimeoutMs: durationMs
        .default(2_000)
        .describe('Silence within an answer before it is resumed on a new connection.'),
      ratingTimeoutMs: durationMs.default(1_000).describe('Longest wait for a rating in line.'),
      maxQueued: z.int().positive().default(256).describe('Requests that may wait for room.'),
    })
    .prefault({})
    .describe('Requests of callers.'),
  upstreams: z
    .strictObject({
      loadIntervalMs: durationMs.default(500).describe('Time between load reports of an engine.'),
      cacheEventsIntervalMs: durationMs.default(1_000).describe('Time between cache event pages.'),
      vmListIntervalMs: durationMs.default(1_000).describe('Time between reads of the VM list.'),
    })
    .prefault({})
    .describe('Watching upstreams.'),
  shutdown: z
    .strictObject({
      balancerDelayMs: z
        .int()
        .nonnegative()
        .default(2_000)
        .describe('Serving on while the balancer learns that the daemon is not ready.'),
      deadlineMs: durationMs
        .default(620_000)
        .describe('Longest wait for requests in progress; above requests.maxDeadlineMs.'),
    })
    .prefault({})
    .describe('Graceful shutdown.'),
  log: z
    .strictObject({
      level: z
        .enum(['fatal', 'error', 'warn', 'info', 'debug', 'trace', 'silent'])
        .default('info')
        .describe('Least severe lines written.'),
    })
    .prefault({})
    .describe('JSON lines on standard output.'),
});

/**
 * What goes wrong: a daemon listens by TLS and calls its peers without, or the other way round. Each takes
 * the others for dead and serves alone, with all limits for itself.
 */
export const settingsSchema = fileSchema.refine(
  ({ listen, peers }) => (listen.peers.tls === undefined) === (peers.tls === undefined),
  { path: ['peers', 'tls'], error: 'expected together with listen.peers.tls, or neither' },
);

export type Settings = z.infer<typeof settingsSchema>;
export type SecretSource = z.infer<typeof secretSchema>;
export type ListenerSettings = z.infer<typeof listenerSchema>;
export type TlsSettings = z.infer<typeof tlsSchema>;
export type PeerTlsSettings = z.infer<typeof peerTlsSchema>;
