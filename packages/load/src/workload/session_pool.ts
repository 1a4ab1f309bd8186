import type {RandomSource} from '../arrivals/arrivals.js';

/** A session token, and the model and version that it was issued for. */
export interface OpenSession {
  readonly token: string;
  readonly model: string;
  readonly version: string;
}

const MAX_SESSIONS_PER_KEY = 100;

/** Holds the open sessions, grouped by API key and request kind. */
export class SessionPool {
  private readonly sessions = new Map<string, OpenSession[]>();

  private constructor(private readonly random: RandomSource) {}

  static create(random: RandomSource): SessionPool {
    return new SessionPool(random);
  }

  /** Picks a random open session; undefined when there is none. */
  pick(apiKey: string, kind: string): OpenSession | undefined {
    const list = this.sessions.get(`${apiKey} ${kind}`) ?? [];
    return list[Math.floor(this.random() * list.length)];
  }

  /** Adds a session, replacing the oldest one when the group is full. */
  add(apiKey: string, kind: string, session: OpenSession): void {
    const key = `${apiKey} ${kind}`;
    const list = this.sessions.get(key) ?? [];
    if (list.length >= MAX_SESSIONS_PER_KEY) list.shift();
    list.push(session);
    this.sessions.set(key, list);
  }

  /** Removes a session that cannot be continued any more. */
  remove(apiKey: string, kind: string, session: OpenSession): void {
    const list = this.sessions.get(`${apiKey} ${kind}`);
    const index = list?.indexOf(session) ?? -1;
    if (index >= 0) list?.splice(index, 1);
  }
}
