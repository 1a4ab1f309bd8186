const ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const MAX_OCTET = 255;
const MAX_PORT = 65_535;

/**
 * Returns true for an IPv4 address with a port to which a connection can be made.
 *
 * @example
 * ```ts
 * isSocketAddress('10.0.0.1:80'); // true
 * isSocketAddress('10.0.0.1:99999'); // false
 * ```
 */
export function isSocketAddress(text: string): boolean {
  const match = ADDRESS.exec(text);
  if (match === null) return false;
  const [port, ...octets] = match.slice(1).map(Number).reverse();
  return (
    port > 0 && port <= MAX_PORT && octets.every(octet => octet <= MAX_OCTET)
  );
}
