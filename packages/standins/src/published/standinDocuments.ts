/** Settings and configuration as the platform renders them. */

export const KEY = 'key-of-north';
export const HOST = 'api.example';

/** What a process of one VM is told of itself. */
export interface VmFacts {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly peerPort: number;
  readonly graceS: number;
  /** `host:port` of the store. */
  readonly store: string;
  /** `host:port` of VMs that may know the others. */
  readonly seeds?: readonly string[];
  readonly memoryLimitMb?: number;
  readonly maxDescriptors?: number;
}

const renderLimits = ({ memoryLimitMb, maxDescriptors }: VmFacts): string =>
  [
    '[limits]',
    ...(memoryLimitMb === undefined ? [] : [`memory-limit-mb = ${memoryLimitMb}`]),
    ...(maxDescriptors === undefined ? [] : [`max-fds = ${maxDescriptors}`]),
  ].join('\n');

export const renderSettings = (vm: VmFacts): string => `
node-name = "${vm.name}"
bind-ip = "${vm.address}"
zone = "${vm.dataCentre}"
internal-ports = [${vm.peerPort}, ${vm.peerPort}]
seed-nodes = ${JSON.stringify(vm.seeds ?? [])}
[listen]
front = "${vm.address}:${vm.callerPort}"
ready = "${vm.address}:${vm.readinessPort}"
[bounds]
grace-period-s = ${vm.graceS}
revoke-deadline-ms = 5000
session-ttl-s = 5
retry-budget-ratio = 0.9
retry-window-s = 10
canary-share = 0.15
canary-slack = 30
[platform]
address = "${vm.store}"
${renderLimits(vm)}
`;

export type RouteName = 'read' | 'write' | 'chat';

const routes = {
  read: {
    kind: 'idempotent',
    'timeout-ms': 3_000,
    'target-latency-ms': 200,
    'max-attempts': 2,
    service: 'plain',
  },
  write: {
    kind: 'non_idempotent',
    'timeout-ms': 3_000,
    'target-latency-ms': 200,
    'max-attempts': 1,
    service: 'plain',
  },
  chat: {
    kind: 'streaming',
    'timeout-ms': 6_000,
    'target-latency-ms': 1_000,
    'target-gap-ms': 500,
    'max-attempts': 3,
    resumable: true,
    sizes: ['small', 'large'],
    service: 'models',
  },
} as const satisfies Record<RouteName, unknown>;

/** One of the usual routes, at its own path or another one. */
export const buildRoute = (route: RouteName, name: string = route) => ({
  name,
  host: HOST,
  'path-prefix': `/${name}/`,
  ...routes[route],
});

/** A configuration as the operator writes it; fields of routes may be overridden. */
export const buildConfiguration = (
  version: number,
  changes: {
    readonly keys?: readonly string[];
    readonly routes?: readonly Readonly<Record<string, unknown>>[];
    /** Of the plain service. */
    readonly plain?: Readonly<Record<string, unknown>>;
    readonly limits?: Readonly<Record<string, number>>;
  } = {},
) => ({
  version,
  routes: changes.routes ?? [buildRoute('read'), buildRoute('write'), buildRoute('chat')],
  services: [
    { name: 'plain', 'health-path': '/health', ...changes.plain },
    {
      name: 'models',
      'health-path': '/health',
      engine: {
        slots: 8,
        'kv-capacity': 100_000,
        models: [
          { name: 'small', cost: 0.02 },
          { name: 'large', cost: 0.3 },
        ],
      },
    },
  ],
  limits: {
    'max-header-bytes': 4_096,
    'max-body-bytes': 10_000,
    'header-timeout-ms': 1_000,
    'idle-timeout-ms': 4_000,
    ...changes.limits,
  },
  tenants: [{ name: 'north', 'api-keys': changes.keys ?? [KEY] }],
});
