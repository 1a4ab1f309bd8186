import type {DecisionWeights} from '@anvilrudder/core';

/** A kind of request and the distribution of its difficulty. */
export interface KindProfile {
  readonly kind: string;
  /** Share of all requests. */
  readonly share: number;
  readonly qualityTarget: number;
  readonly difficultyMean: number;
  readonly difficultyDeviation: number;
}

/** A model version with its cost and skill. */
export interface VersionProfile {
  readonly model: string;
  readonly version: string;
  readonly costPerMtok: number;
  readonly skill: number;
}

/** Requests, model versions and organisations of a simulated deployment. */
export interface Deployment {
  readonly name: string;
  readonly weights: DecisionWeights;
  readonly kinds: readonly KindProfile[];
  readonly versions: readonly VersionProfile[];
  readonly organisations: readonly string[];
}

const ORGANISATIONS = ['large-a', 'large-a', 'large-b', 'small-c', 'small-d'];

/** Gives cost more weight than exposure: three models, half of the requests easy. */
export const PENBRIDGE: Deployment = {
  name: 'penbridge',
  weights: {cost: 3, exposure: 1},
  organisations: ORGANISATIONS,
  kinds: [
    {
      kind: 'icebreaker',
      share: 0.5,
      qualityTarget: 0.62,
      difficultyMean: -0.4,
      difficultyDeviation: 0.7,
    },
    {
      kind: 'translation-note',
      share: 0.3,
      qualityTarget: 0.7,
      difficultyMean: 0.2,
      difficultyDeviation: 0.9,
    },
    {
      kind: 'match-reason',
      share: 0.2,
      qualityTarget: 0.78,
      difficultyMean: 0.6,
      difficultyDeviation: 1,
    },
  ],
  versions: [
    {model: 'quick', version: 'v3', costPerMtok: 0.4, skill: 0.4},
    {model: 'steady', version: 'v2', costPerMtok: 2, skill: 1.4},
    {model: 'deep', version: 'v5', costPerMtok: 8, skill: 2.6},
  ],
};

/** Gives exposure more weight than cost: four models, harder requests. */
export const LANKA: Deployment = {
  name: 'lanka',
  weights: {cost: 1, exposure: 3},
  organisations: ORGANISATIONS,
  kinds: [
    {
      kind: 'scout-question',
      share: 0.45,
      qualityTarget: 0.62,
      difficultyMean: -0.3,
      difficultyDeviation: 0.7,
    },
    {
      kind: 'portfolio-summary',
      share: 0.3,
      qualityTarget: 0.72,
      difficultyMean: 0.3,
      difficultyDeviation: 0.9,
    },
    {
      kind: 'casting-brief',
      share: 0.25,
      qualityTarget: 0.8,
      difficultyMean: 0.7,
      difficultyDeviation: 1,
    },
  ],
  versions: [
    {model: 'quick', version: 'v3', costPerMtok: 0.5, skill: 0.3},
    {model: 'steady', version: 'v2', costPerMtok: 1.8, skill: 1.2},
    {model: 'broad', version: 'v1', costPerMtok: 4, skill: 1.9},
    {model: 'deep', version: 'v5', costPerMtok: 10, skill: 2.8},
  ],
};

export const DEPLOYMENTS: readonly Deployment[] = [PENBRIDGE, LANKA];
