/* fuzz_handshake.c - what comes before a peer has proved who it is.

   Input: two bytes with the length of a Hello, the Hello, then a Proof.
   Needs: fuzz.h, handshake.h.  */

#include "core/limits.h"
#include "fuzz.h"
#include "net/handshake.h"
#include <string.h>

FUZZ_MAIN (handshake)

static const uint8_t site_key[MQ_KEY_BYTES] = "a key of the tests";

static void
check_info (const struct mq_peer_info *info)
{
  FUZZ_CHECK (info->host != NULL && strlen (info->host) < MQ_NAME_MAX);
  FUZZ_CHECK (info->data_centre != NULL);
  FUZZ_CHECK (info->role == MQ_HOST_ENTRY || info->role == MQ_HOST_TARGET);
}

bool
fuzz_handshake (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_peer_info self
      = { .host = "e1", .data_centre = "plateau", .address = "127.0.0.1:1" };
  struct mq_handshake *handshake
      = mq_handshake_create (ctx, MQ_SIDE_ACCEPT, site_key, &self);
  size_t hello = len < 2 ? 0 : (size_t)data[0] << 8 | data[1];
  const struct mq_peer_info *info = NULL;
  struct mq_error error = { 0 };
  size_t left = len < 2 ? 0 : len - 2;
  bool accepted;

  FUZZ_CHECK (handshake != NULL);
  if (hello > left)
    hello = left;
  if (left > 0)
    info = mq_handshake_read_hello (handshake, data + 2, hello, &error);
  accepted = info != NULL;
  if (accepted)
    check_info (info);
  /* The nonce of this run is random: no fixed bytes can prove the key, nor can
     those of the Hello.  */
  if (left > 0)
    {
      FUZZ_CHECK (!mq_handshake_check_proof (handshake, data + 2 + hello,
                                             left - hello, &error));
      FUZZ_CHECK (
          !mq_handshake_check_proof (handshake, data + 2, left, &error));
    }
  talloc_free (ctx);
  return accepted;
}
