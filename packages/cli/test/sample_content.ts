/** Content of a valid rule file. */
export const CONTENT = [
  'model name=quick version=v1 cost-per-mtok=0.2 quality=0.7 # Kim: base',
  'kind name=icebreaker quality=0.6 deadline-ms=8000 # Kim: base',
  'allow organisation=hana model=* version=* kind=* # Kim: base',
  '',
].join('\n');

export const ADDED_LINE =
  'limit organisation=hana requests-per-s=2 burst=5 concurrent=3 # Kim: fair';

/** {@link CONTENT} with one more rule. */
export const CHANGED_CONTENT = `${CONTENT}${ADDED_LINE}\n`;
