/* handshake.h - mutual authentication of two processes by the site key.

   Each side sends a Hello with a 32-byte nonce, then a Proof: HMAC-SHA256
   under the site key over the tag of the side ("connect" or "accept"), both
   nonces and both encoded Hellos.  The nonces prevent replay, the tag prevents
   reflection, and the Hellos cannot be altered unnoticed.
   Needs: gnutls, protobuf-c, proto/peer.pb-c.h, peer.h.  */

#ifndef MQ_HANDSHAKE_H
#define MQ_HANDSHAKE_H

#include "peer.h"

enum
{
  MQ_PEER_PROTOCOL = 1, /* incremented with each incompatible change */
  MQ_NONCE_BYTES = 32
};

enum mq_handshake_side
{
  MQ_SIDE_CONNECT,
  MQ_SIDE_ACCEPT
};

struct mq_handshake;

/* SITE_KEY and SELF are borrowed for the lifetime of the handshake.  NULL if
   out of memory or without random bytes.  */
struct mq_handshake *mq_handshake_create (TALLOC_CTX *ctx,
                                          enum mq_handshake_side side,
                                          const uint8_t site_key[MQ_KEY_BYTES],
                                          const struct mq_peer_info *self);
/* Own encoded Hello, to be sent first.  */
const uint8_t *mq_handshake_hello (const struct mq_handshake *handshake,
                                   size_t *len);
/* Identity claimed by the peer, owned by HANDSHAKE; NULL with BAD_FRAME or
   NO_MEMORY in ERROR.  */
const struct mq_peer_info *
mq_handshake_read_hello (struct mq_handshake *handshake, const uint8_t *data,
                         size_t len, struct mq_error *error);
/* Own encoded Proof, after the peer's Hello was read; NULL if out of memory or
   the MAC fails.  */
const uint8_t *mq_handshake_proof (struct mq_handshake *handshake,
                                   size_t *len);
/* False with BAD_PEER in ERROR for a wrong MAC, BAD_FRAME for another
   frame.  */
bool mq_handshake_check_proof (struct mq_handshake *handshake,
                               const uint8_t *data, size_t len,
                               struct mq_error *error);

#endif
