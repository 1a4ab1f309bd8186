#!/bin/sh
# Regenerates the test certificates. They are for tests only: their
# private keys are public. Needs the openssl program; run it in this directory.
set -eu

days=36500

make_authority() {
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes \
    -days "$days" -subj "/CN=anvilrudder test authority $1" \
    -keyout "$1.key" -out "$1.pem" 2>/dev/null
}

# make_certificate NAME AUTHORITY SUBJECT_ALT_NAMES
make_certificate() {
  openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes \
    -subj "/CN=anvilrudder test $1" -keyout "$1.key" -out "$1.csr" 2>/dev/null
  printf 'subjectAltName=%s\n' "$3" > "$1.ext"
  openssl x509 -req -in "$1.csr" -CA "$2.pem" -CAkey "$2.key" \
    -CAcreateserial -days "$days" -extfile "$1.ext" -out "$1.pem" 2>/dev/null
  rm "$1.csr" "$1.ext"
}

make_authority ca
make_authority other_ca
make_certificate entry ca IP:127.0.0.1,DNS:localhost
make_certificate renewed ca IP:127.0.0.1,DNS:localhost
make_certificate wrong_name ca IP:192.0.2.7
make_certificate foreign other_ca IP:127.0.0.1,DNS:localhost
rm -f ca.key other_ca.key ca.srl other_ca.srl
