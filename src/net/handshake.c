/* handshake.c - mutual authentication of two processes by the site key.

   Needs: handshake.h.  */

#include "handshake.h"
#include "../../proto/peer.pb-c.h"
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <string.h>

_Static_assert((int)MQ__ROLE__ENTRY == (int)MQ_HOST_ENTRY, "role on the wire");
_Static_assert((int)MQ__ROLE__TARGET == (int)MQ_HOST_TARGET,
               "role on the wire");

/* Encoded bytes of a Hello, and the nonce in it.  */
struct hello_bytes
{
  uint8_t *data;
  size_t len;
  uint8_t nonce[MQ_NONCE_BYTES];
};

struct mq_handshake
{
  enum mq_handshake_side side;
  const uint8_t *site_key;
  struct hello_bytes own;
  struct hello_bytes peer;
  struct mq_peer_info info;
};

static uint8_t *
pack_envelope (TALLOC_CTX *ctx, const Mq__Envelope *envelope, size_t *len)
{
  uint8_t *data;

  *len = mq__envelope__get_packed_size (envelope);
  data = talloc_size (ctx, *len);
  if (data != NULL)
    mq__envelope__pack (envelope, data);
  return data;
}

static bool
pack_hello (struct mq_handshake *handshake, const struct mq_peer_info *self)
{
  Mq__Envelope envelope = MQ__ENVELOPE__INIT;
  Mq__Hello hello = MQ__HELLO__INIT;
  struct hello_bytes *own = &handshake->own;

  hello.protocol = MQ_PEER_PROTOCOL;
  hello.host = (char *)self->host;
  hello.address = (char *)self->address;
  hello.data_centre = (char *)self->data_centre;
  hello.role = (Mq__Role)self->role;
  hello.boot = self->boot;
  hello.nonce.data = own->nonce;
  hello.nonce.len = sizeof own->nonce;
  envelope.body_case = MQ__ENVELOPE__BODY_HELLO;
  envelope.hello = &hello;
  own->data = pack_envelope (handshake, &envelope, &own->len);
  return own->data != NULL;
}

struct mq_handshake *
mq_handshake_create (TALLOC_CTX *ctx, enum mq_handshake_side side,
                     const uint8_t site_key[MQ_KEY_BYTES],
                     const struct mq_peer_info *self)
{
  struct mq_handshake *handshake = talloc_zero (ctx, struct mq_handshake);
  struct hello_bytes *own;

  if (handshake == NULL)
    return NULL;
  handshake->side = side;
  handshake->site_key = site_key;
  own = &handshake->own;
  if (gnutls_rnd (GNUTLS_RND_NONCE, own->nonce, sizeof own->nonce) == 0
      && pack_hello (handshake, self))
    return handshake;
  talloc_free (handshake);
  return NULL;
}

const uint8_t *
mq_handshake_hello (const struct mq_handshake *handshake, size_t *len)
{
  *len = handshake->own.len;
  return handshake->own.data;
}

static bool
is_name (const char *text)
{
  size_t len = strlen (text);

  return len > 0 && len < MQ_NAME_MAX;
}

static const char *
find_invalid_hello_field (const Mq__Hello *hello)
{
  if (hello->protocol != MQ_PEER_PROTOCOL)
    return "protocol";
  if (!is_name (hello->host))
    return "host";
  if (!is_name (hello->address))
    return "address";
  if (strlen (hello->data_centre) >= MQ_NAME_MAX)
    return "data_centre";
  if (hello->role != MQ__ROLE__ENTRY && hello->role != MQ__ROLE__TARGET)
    return "role";
  if (hello->nonce.len != MQ_NONCE_BYTES)
    return "nonce";
  return NULL;
}

static bool
store_hello (struct mq_handshake *handshake, const Mq__Hello *hello,
             const uint8_t *data, size_t len)
{
  struct hello_bytes *peer = &handshake->peer;
  struct mq_peer_info *info = &handshake->info;

  memcpy (peer->nonce, hello->nonce.data, sizeof peer->nonce);
  peer->data = talloc_memdup (handshake, data, len);
  peer->len = len;
  info->host = talloc_strdup (handshake, hello->host);
  info->address = talloc_strdup (handshake, hello->address);
  info->data_centre = talloc_strdup (handshake, hello->data_centre);
  info->role = (enum mq_host_role)hello->role;
  info->boot = hello->boot;
  return peer->data != NULL && info->host != NULL && info->address != NULL
         && info->data_centre != NULL;
}

const struct mq_peer_info *
mq_handshake_read_hello (struct mq_handshake *handshake, const uint8_t *data,
                         size_t len, struct mq_error *error)
{
  Mq__Envelope *envelope = mq__envelope__unpack (NULL, len, data);
  const char *fault = "hello";

  if (envelope != NULL && envelope->body_case == MQ__ENVELOPE__BODY_HELLO)
    fault = find_invalid_hello_field (envelope->hello);
  if (fault != NULL)
    mq_error_set (error, MQ_ERR_BAD_FRAME, fault, NULL);
  else if (!store_hello (handshake, envelope->hello, data, len))
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, "hello", NULL);
      fault = "memory";
    }
  mq__envelope__free_unpacked (envelope, NULL);
  return fault == NULL ? &handshake->info : NULL;
}

/* Prefixes the length, so that no two different pairs of Hellos give the same
   input.  */
static int
add_hello (gnutls_hmac_hd_t mac, const struct hello_bytes *hello)
{
  uint8_t len[4] = { (uint8_t)(hello->len >> 24), (uint8_t)(hello->len >> 16),
                     (uint8_t)(hello->len >> 8), (uint8_t)hello->len };
  int failed = gnutls_hmac (mac, len, sizeof len);

  return failed ? failed : gnutls_hmac (mac, hello->data, hello->len);
}

static int
add_parts (gnutls_hmac_hd_t mac, enum mq_handshake_side side,
           const struct hello_bytes *connect, const struct hello_bytes *accept)
{
  static const char *const tags[] = { "connect", "accept" };
  int failed = gnutls_hmac (mac, tags[side], strlen (tags[side]) + 1);

  if (!failed)
    failed = gnutls_hmac (mac, connect->nonce, sizeof connect->nonce);
  if (!failed)
    failed = gnutls_hmac (mac, accept->nonce, sizeof accept->nonce);
  if (!failed)
    failed = add_hello (mac, connect);
  if (!failed)
    failed = add_hello (mac, accept);
  return failed;
}

/* MAC expected from SIDE in this handshake.  */
static bool
compute_proof (const struct mq_handshake *handshake,
               enum mq_handshake_side side, uint8_t proof[MQ_KEY_BYTES])
{
  bool dialled = handshake->side == MQ_SIDE_CONNECT;
  gnutls_hmac_hd_t mac;
  int failed;

  if (gnutls_hmac_init (&mac, GNUTLS_MAC_SHA256, handshake->site_key,
                        MQ_KEY_BYTES)
      != 0)
    return false;
  failed = add_parts (mac, side, dialled ? &handshake->own : &handshake->peer,
                      dialled ? &handshake->peer : &handshake->own);
  gnutls_hmac_deinit (mac, proof);
  return !failed;
}

static enum mq_handshake_side
other_side (enum mq_handshake_side side)
{
  return side == MQ_SIDE_CONNECT ? MQ_SIDE_ACCEPT : MQ_SIDE_CONNECT;
}

const uint8_t *
mq_handshake_proof (struct mq_handshake *handshake, size_t *len)
{
  Mq__Envelope envelope = MQ__ENVELOPE__INIT;
  Mq__Proof proof = MQ__PROOF__INIT;
  uint8_t mac[MQ_KEY_BYTES];

  if (!compute_proof (handshake, handshake->side, mac))
    return NULL;
  proof.mac.data = mac;
  proof.mac.len = sizeof mac;
  envelope.body_case = MQ__ENVELOPE__BODY_PROOF;
  envelope.proof = &proof;
  return pack_envelope (handshake, &envelope, len);
}

static bool
match_proof (const struct mq_handshake *handshake, const Mq__Proof *proof)
{
  uint8_t mac[MQ_KEY_BYTES];

  if (!compute_proof (handshake, other_side (handshake->side), mac))
    return false;
  /* Constant-time comparison, so that timing does not reveal how many bytes of
     a guess were correct.  */
  return proof->mac.len == sizeof mac
         && gnutls_memcmp (proof->mac.data, mac, sizeof mac) == 0;
}

bool
mq_handshake_check_proof (struct mq_handshake *handshake, const uint8_t *data,
                          size_t len, struct mq_error *error)
{
  Mq__Envelope *envelope = mq__envelope__unpack (NULL, len, data);
  bool is_valid = false;

  if (envelope == NULL || envelope->body_case != MQ__ENVELOPE__BODY_PROOF)
    mq_error_set (error, MQ_ERR_BAD_FRAME, "proof", NULL);
  else
    {
      is_valid = match_proof (handshake, envelope->proof);
      if (!is_valid)
        mq_error_set (error, MQ_ERR_BAD_PEER, handshake->info.host, NULL);
    }
  mq__envelope__free_unpacked (envelope, NULL);
  return is_valid;
}
