/** What the process itself takes, as gauges. */
import { trafficKinds, type TrafficMeter } from './trafficMeter.js';
import type { GaugeSource } from './daemonMetrics.js';

const MICROS_PER_SECOND = 1_000_000;

const getCpuSeconds = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROS_PER_SECOND;
};

const processGauges: readonly GaugeSource[] = [
  {
    name: 'snipehaven_process_cpu_seconds_total',
    help: 'Processor time of the process, user and system.',
    read: getCpuSeconds,
  },
  {
    name: 'snipehaven_process_resident_bytes',
    help: 'Resident memory of the process.',
    read: () => process.memoryUsage.rss(),
  },
  {
    name: 'snipehaven_process_heap_bytes',
    help: 'Used part of the heap.',
    read: () => process.memoryUsage().heapUsed,
  },
];

/** Gauges of the process and of its connections. */
export const listProcessGauges = (traffic: TrafficMeter): readonly GaugeSource[] => [
  ...processGauges,
  ...trafficKinds.map((kind) => ({
    name: `snipehaven_traffic_${kind}_bytes_total`,
    help: `Bytes sent to and received from ${kind}, HTTP headers included.`,
    read: () => traffic.getBytes(kind),
  })),
];
