/* handshake.h - how two processes prove the site key to each other.

   Each side sends a Hello with 32 random bytes, then a Proof: HMAC-SHA256
   under the site key over the side's tag ("connect" or "accept"), both
   nonces and both Hellos as they were sent.  A replayed proof fails on the
   nonce, a reflected one on the tag, a changed Hello on its bytes.
   Needs: gnutls, protobuf-c, proto/peer.pb-c.h, peer.h.  */

#ifndef MQ_HANDSHAKE_H
#define MQ_HANDSHAKE_H

#include "peer.h"

enum
{
  MQ_PEER_PROTOCOL = 1, /* raised with every change that old code can't read */
  MQ_NONCE_BYTES = 32
};

enum mq_handshake_side
{
  MQ_SIDE_CONNECT,
  MQ_SIDE_ACCEPT
};

struct mq_handshake;

/* SITE_KEY and SELF are borrowed for the life of the handshake.  NULL when
   memory or random bytes are out.  */
struct mq_handshake *mq_handshake_create (TALLOC_CTX *ctx,
                                          enum mq_handshake_side side,
                                          const uint8_t site_key[MQ_KEY_BYTES],
                                          const struct mq_peer_info *self);
/* Our Hello, to be sent first.  */
const uint8_t *mq_handshake_hello (const struct mq_handshake *handshake,
                                   size_t *len);
/* Who the peer says it is, below HANDSHAKE; NULL with BAD_FRAME in ERROR.  */
const struct mq_peer_info *
mq_handshake_read_hello (struct mq_handshake *handshake, const uint8_t *data,
                         size_t len, struct mq_error *error);
/* Our Proof, once the peer's Hello was read; NULL when memory is out.  */
const uint8_t *mq_handshake_proof (struct mq_handshake *handshake,
                                   size_t *len);
/* BAD_PEER in ERROR for a wrong proof, BAD_FRAME for another frame.  */
bool mq_handshake_check_proof (struct mq_handshake *handshake,
                               const uint8_t *data, size_t len,
                               struct mq_error *error);

#endif
