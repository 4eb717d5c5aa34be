/* fuzz_message.c - HTTP messages of callers and workers (http_message.c).

   Input: 'R' for a request or 'A' for an answer, the size in which the bytes
   arrive, then the bytes.
   Needs: fuzz.h, http_message.h.  */

#include "fuzz.h"
#include "net/http_message.h"
#include <string.h>

FUZZ_MAIN (message)

/* What was told of a message.  */
struct told
{
  int heads;
  int ends;
  int status;
  bool failed;
  size_t fields;
  char *body;
};

static void
on_head (const struct mq_http_head *head, void *user)
{
  struct told *told = user;

  FUZZ_CHECK (told->heads == told->ends);
  told->heads++;
  told->status = head->status;
  told->fields = head->field_count;
  for (size_t i = 0; i < head->field_count; i++)
    {
      FUZZ_CHECK (head->fields[i].name[0] != '\0');
      /* A line end in a value would forge a field where it is passed on.  */
      FUZZ_CHECK (strpbrk (head->fields[i].value, "\r\n") == NULL);
      FUZZ_CHECK (strpbrk (head->fields[i].name, "\r\n: ") == NULL);
    }
  /* Two lengths are two ways to read where the next request begins.  */
  FUZZ_CHECK (!head->has_length || !head->chunked);
}

static void
on_body (const char *data, size_t len, void *user)
{
  struct told *told = user;

  FUZZ_CHECK (told->heads == told->ends + 1);
  for (size_t i = 0; i < len; i++)
    told->body
        = talloc_asprintf_append_buffer (told->body, "%02x", (uint8_t)data[i]);
}

static void
on_end (void *user)
{
  struct told *told = user;

  told->ends++;
  FUZZ_CHECK (told->heads == told->ends);
}

/* Reads one message after the other until one is damaged.  */
static struct told
read_messages (TALLOC_CTX *ctx, enum mq_http_side side, const uint8_t *data,
               size_t len, size_t step)
{
  struct told told = { .body = talloc_strdup (ctx, "") };
  struct mq_http_events events
      = { .head = on_head, .body = on_body, .end = on_end, .user = &told };
  struct mq_http_reader *reader = mq_http_reader_create (ctx, side, &events);
  size_t at = 0;

  while (at < len && !told.failed)
    {
      size_t part = len - at < step ? len - at : step;
      struct mq_error error = { .type = MQ_ERR_NONE };
      size_t used = mq_http_reader_feed (reader, (const char *)data + at, part,
                                         &error);

      FUZZ_CHECK (used <= part);
      told.failed = error.type != MQ_ERR_NONE;
      at += used;
      if (mq_http_reader_at_end (reader))
        mq_http_reader_next (reader);
      else if (!told.failed)
        FUZZ_CHECK (used == part);
    }
  mq_http_reader_destroy (reader);
  return told;
}

bool
fuzz_message (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  enum mq_http_side side;
  struct told parts;
  struct told whole;
  size_t step;

  if (len < 2 || (data[0] != 'R' && data[0] != 'A'))
    {
      talloc_free (ctx);
      return false;
    }
  side = data[0] == 'R' ? MQ_HTTP_REQUEST : MQ_HTTP_RESPONSE;
  step = data[1] == 0 ? len : data[1];
  parts = read_messages (ctx, side, data + 2, len - 2, step);
  whole = read_messages (ctx, side, data + 2, len - 2, len);
  FUZZ_CHECK (parts.heads == whole.heads && parts.ends == whole.ends);
  FUZZ_CHECK (parts.failed == whole.failed);
  FUZZ_CHECK (parts.failed || strcmp (parts.body, whole.body) == 0);
  talloc_free (ctx);
  return whole.ends > 0 && !whole.failed;
}
