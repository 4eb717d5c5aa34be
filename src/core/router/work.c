/* work.c - what all attempts at one request have in common.

   Needs: work.h, nettle.  */

#include "work.h"
#include <nettle/sha2.h>
#include <string.h>

/* The length goes first, so that texts can't move from one part to the next.
   An absent part differs from an empty one.  */
static void
add_part (struct sha256_ctx *digest, const void *data, uint64_t len)
{
  sha256_update (digest, sizeof len, (const uint8_t *)&len);
  if (data != NULL)
    sha256_update (digest, len, data);
}

static void
add_text (struct sha256_ctx *digest, const char *text)
{
  add_part (digest, text, text == NULL ? UINT64_MAX : strlen (text));
}

struct mq_id
mq_work_id (const struct mq_work *work)
{
  struct sha256_ctx digest;
  struct mq_id id;

  sha256_init (&digest);
  add_text (&digest, work->organisation);
  add_text (&digest, work->method);
  add_text (&digest, work->host);
  add_text (&digest, work->target);
  add_text (&digest, work->program);
  add_text (&digest, work->line);
  add_text (&digest, work->previous);
  add_text (&digest, work->prompt);
  add_part (&digest, work->body.data, work->body.len);
  sha256_digest (&digest, sizeof id, (uint8_t *)&id);
  id.lo |= 1U;
  return id;
}
