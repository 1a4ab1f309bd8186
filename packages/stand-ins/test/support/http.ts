/** Status and JSON body of a response. */
export interface JsonResponse {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Sends a request and reads its JSON response. */
export async function sendRequest(
  address: string,
  method: string,
  path: string,
  body?: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
  const response = await fetch(`http://${address}${path}`, {
    method,
    body,
    headers,
  });
  const value = (await response.json()) as JsonResponse['body'];
  return {status: response.status, body: value};
}
