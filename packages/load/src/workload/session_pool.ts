import type {RandomSource} from '../arrivals/arrivals.js';

/** A session token and the model version that it was issued for. */
export interface OpenSession {
  readonly token: string;
  readonly model: string;
  readonly version: string;
}

const SESSIONS_PER_KEY = 100;

/** Sessions that answers have opened, by API key and kind. */
export class SessionPool {
  private readonly sessions = new Map<string, OpenSession[]>();

  private constructor(private readonly random: RandomSource) {}

  static create(random: RandomSource): SessionPool {
    return new SessionPool(random);
  }

  /** An open session, or undefined when there is none. */
  pick(apiKey: string, kind: string): OpenSession | undefined {
    const list = this.sessions.get(`${apiKey} ${kind}`) ?? [];
    return list[Math.floor(this.random() * list.length)];
  }

  /** Keeps a session, in place of the oldest one when there are many. */
  add(apiKey: string, kind: string, session: OpenSession): void {
    const key = `${apiKey} ${kind}`;
    const list = this.sessions.get(key) ?? [];
    if (list.length >= SESSIONS_PER_KEY) list.shift();
    list.push(session);
    this.sessions.set(key, list);
  }

  /** Forgets a session that is not honoured any more. */
  remove(apiKey: string, kind: string, session: OpenSession): void {
    const list = this.sessions.get(`${apiKey} ${kind}`);
    const index = list?.indexOf(session) ?? -1;
    if (index >= 0) list?.splice(index, 1);
  }
}
