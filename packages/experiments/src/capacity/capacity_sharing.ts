import {
  EvidenceTable,
  OrganisationLimiter,
  createRandom,
  formatMember,
  type ModelVersion,
  type Random,
} from '@anvilrudder/core';
import {
  createPeerTransports,
  startShareExchange,
  type MemberStatus,
} from '@anvilrudder/entry/control';
import {SILENT_LOGGER} from '@anvilrudder/observability';
import type {SharedFacts} from '@anvilrudder/peers';
import type {ConnectRouter} from '@connectrpc/connect';
import {
  fitColumns,
  type CapacityCommand,
  type CapacityOptions,
  type CapacityReport,
  type Row,
} from './capacity_report.js';
import {startRpcServer, type LoopbackServer} from './loopback_server.js';
import {
  readCpuUs,
  readHeapBytes,
  sleepMs,
  toCorePercent,
} from './usage_meter.js';

const RUN_MS = 5000;
const SMALL_RUN_MS = 1500;
const WARM_UP_MS = 3000;
const SMALL_WARM_UP_MS = 0;
const TARGET_MEMBERS = 360;
const TARGET_VERSIONS = 28;
const TARGET_ORGANISATIONS = 100;
const REQUEST_COUNT = 20;
const FITTED_COLUMNS: readonly string[] = [
  'bytesPerS',
  'cpuPercent',
  'heapBytes',
];

interface Size {
  readonly members: number;
  readonly versions: number;
  readonly organisations: number;
}

const BY_MEMBERS: readonly Size[] = [2, 4, 8, 16, 32].map(members => ({
  members,
  versions: 4,
  organisations: 10,
}));
const BY_VERSIONS: readonly Size[] = [2, 7, 14, 28].map(versions => ({
  members: 8,
  versions,
  organisations: 10,
}));
const BY_ORGANISATIONS: readonly Size[] = [10, 40, 100].map(organisations => ({
  members: 8,
  versions: 4,
  organisations,
}));

/** The part of an entry that exchanges evidence and limit usage with peers. */
class SharingEntry {
  private exchange: ReturnType<typeof startShareExchange> | undefined;
  private server: LoopbackServer | undefined;
  private readonly transports = createPeerTransports({timeoutMs: 1000});
  private readonly evidence: EvidenceTable;
  private readonly limiter: OrganisationLimiter;
  private readonly versions: readonly ModelVersion[];

  private constructor(
    private readonly index: number,
    private readonly size: Size,
    private readonly random: Random,
  ) {
    const member = {host: `entry-${index}`, incarnation: `run-${index}`};
    this.evidence = EvidenceTable.create(member);
    const name = formatMember(member);
    this.limiter = OrganisationLimiter.create({member: name, random});
    this.versions = Array.from({length: size.versions}, (_, i) => ({
      model: `model-${i >> 1}`,
      version: `v${i & 1}`,
    }));
    const limits = Array.from({length: size.organisations}, (_, i) => ({
      organisation: `school-${i}`,
      requestsPerS: 1e6,
      burst: 1e6,
      concurrent: 1e6,
    }));
    this.limiter.updateLimits(limits, performance.now());
  }

  static create(index: number, size: Size, random: Random): SharingEntry {
    return new SharingEntry(index, size, random);
  }

  get address(): string {
    return this.server?.address ?? '';
  }

  get bytes(): number {
    const traffic = this.server?.readTraffic();
    return (traffic?.bytesReceived ?? 0) + (traffic?.bytesSent ?? 0);
  }

  async start(entries: readonly SharingEntry[]): Promise<void> {
    let limitUse = this.limiter.prepareHeartbeat(
      this.size.members,
      performance.now(),
    );
    this.exchange = startShareExchange({
      directory: {
        listLivePeers: () =>
          entries.filter(e => e !== this).map(e => e.createStatus()),
        choosePeerInOtherDomain: () => undefined,
      },
      transports: this.transports,
      logger: SILENT_LOGGER,
      random: this.random,
      collect: ({afterRevision, scope}): SharedFacts => ({
        evidence: this.evidence.createDelta(afterRevision, scope),
        rulings: [],
        limitUse,
        leavingServers: [],
        rolloutSteps: new Map(),
      }),
      merge: facts => {
        this.evidence.merge(facts.evidence);
        if (facts.limitUse.member !== '') {
          this.limiter.mergeHeartbeat(facts.limitUse, performance.now());
        }
      },
      onPeriod: () => {
        this.serveRequests();
        limitUse = this.limiter.prepareHeartbeat(
          this.size.members,
          performance.now(),
        );
      },
    });
    const {routes} = this.exchange;
    this.server = await startRpcServer((router: ConnectRouter) => {
      routes(router);
    });
  }

  stop(): void {
    this.exchange?.stop();
    this.transports.close();
    this.server?.stop();
  }

  private serveRequests(): void {
    for (let i = 0; i < REQUEST_COUNT; i++) {
      const version = this.versions[i % this.versions.length];
      const sample = {requests: 1, score: this.random()};
      this.evidence.record(version, sample);
      const organisation = `school-${i % this.size.organisations}`;
      this.limiter.tryAcquire(organisation, performance.now());
      this.limiter.release(organisation);
    }
  }

  private createStatus(): MemberStatus {
    return {
      host: `entry-${this.index}`,
      incarnation: `run-${this.index}`,
      failureDomain: `domain-${this.index % 4}`,
      peerAddress: this.address,
      heardAgeMs: 0,
      revision: 1,
    };
  }
}

async function measureSize(
  size: Size,
  {seed, isSmall}: CapacityOptions,
): Promise<Row> {
  const random = createRandom(seed);
  const heapBefore = readHeapBytes();
  const entries = Array.from({length: size.members}, (_, index) =>
    SharingEntry.create(index, size, random),
  );
  for (const entry of entries) await entry.start(entries);
  await sleepMs(isSmall ? SMALL_WARM_UP_MS : WARM_UP_MS);
  const runMs = isSmall ? SMALL_RUN_MS : RUN_MS;
  const sumBytes = () => entries.reduce((sum, e) => sum + e.bytes, 0);
  const bytesBefore = sumBytes();
  const cpuBefore = process.cpuUsage();
  await sleepMs(runMs);
  // Traffic is counted at the servers only. Each byte is sent by one entry and
  // received by another, so it counts twice.
  const bytes = 2 * (sumBytes() - bytesBefore);
  const cpuUs = readCpuUs(cpuBefore);
  const heapBytes = (readHeapBytes() - heapBefore) / size.members;
  for (const entry of entries) entry.stop();
  return {
    ...size,
    bytesPerS: bytes / (runMs / 1000) / size.members,
    cpuPercent: toCorePercent(cpuUs, runMs) / size.members,
    heapBytes,
  };
}

async function measureSizes(
  sizes: readonly Size[],
  options: CapacityOptions,
): Promise<readonly Row[]> {
  const rows: Row[] = [];
  for (const size of options.isSmall ? sizes.slice(0, 1) : sizes) {
    rows.push(await measureSize(size, options));
  }
  return rows;
}

async function run(options: CapacityOptions): Promise<CapacityReport> {
  const byMembers = await measureSizes(BY_MEMBERS, options);
  const byVersions = await measureSizes(BY_VERSIONS, options);
  const byOrganisations = await measureSizes(BY_ORGANISATIONS, options);
  return {
    name: CAPACITY_SHARING.name,
    seed: options.seed,
    rows: [...byMembers, ...byVersions, ...byOrganisations],
    fits: [
      ...fitColumns(byMembers, 'members', FITTED_COLUMNS, TARGET_MEMBERS),
      ...fitColumns(byVersions, 'versions', FITTED_COLUMNS, TARGET_VERSIONS),
      ...fitColumns(
        byOrganisations,
        'organisations',
        FITTED_COLUMNS,
        TARGET_ORGANISATIONS,
      ),
    ],
  };
}

/** Measures the cost of sharing evidence and limit usage, without rulings. */
export const CAPACITY_SHARING: CapacityCommand = {
  name: 'capacity-sharing',
  description: 'cost of sharing evidence and limit usage, by deployment size',
  run,
};
