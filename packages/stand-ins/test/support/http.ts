/** A JSON answer with its status. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Sends one request and reads its JSON answer. */
export async function call(
  address: string,
  method: string,
  path: string,
  body?: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonAnswer> {
  const response = await fetch(`http://${address}${path}`, {
    method,
    body,
    headers,
  });
  const value = (await response.json()) as JsonAnswer['body'];
  return {status: response.status, body: value};
}
