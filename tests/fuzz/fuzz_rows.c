/* fuzz_rows.c - answers of the platform's table (platform/rows_response.c,
   platform/rows_text.c).

   Input: the size of the parts in which the answer arrives, in units of 16
   bytes, and the answer.
   Needs: fuzz.h, rows_state.h.  */

#include "../../platform/rows_state.h"
#include "fuzz.h"
#include <string.h>

FUZZ_MAIN (rows)

static bool
is_same_text (const char *one, const char *other)
{
  if (one == NULL || other == NULL)
    return one == other;
  return strcmp (one, other) == 0;
}

static void
check_row (const struct mq_rows_entry *one, const struct mq_rows_entry *other)
{
  FUZZ_CHECK (is_same_text (one->table, other->table));
  FUZZ_CHECK (is_same_text (one->part, other->part));
  FUZZ_CHECK (is_same_text (one->key, other->key));
  FUZZ_CHECK (one->version == other->version);
  FUZZ_CHECK (one->remove == other->remove);
  FUZZ_CHECK (one->value.len == other->value.len);
  FUZZ_CHECK (one->value.len == 0
              || memcmp (one->value.data, other->value.data, one->value.len)
                     == 0);
}

/* Long values are decoded on the way or with the rest: the rows are the
   same.  */
static bool
compare (TALLOC_CTX *ctx, const struct mq_buffer *body,
         const struct rows_text *text)
{
  struct rows_response one;
  struct rows_response other;
  bool good = rows_decode_response (ctx, body, text, &one);

  FUZZ_CHECK (rows_decode_response (ctx, body, NULL, &other) == good);
  if (good)
    {
      FUZZ_CHECK (one.row_count == other.row_count);
      FUZZ_CHECK (one.version == other.version);
      FUZZ_CHECK (one.clock_ms == other.clock_ms);
      FUZZ_CHECK (one.truncated == other.truncated);
      for (size_t i = 0; i < one.row_count; i++)
        check_row (&one.rows[i], &other.rows[i]);
    }
  rows_free_response (&one);
  rows_free_response (&other);
  return good;
}

bool
fuzz_rows (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_buffer body = { 0 };
  struct rows_text text = { 0 };
  size_t part = len == 0 ? 16 : (size_t)(data[0] + 1) * 16;
  bool accepted;

  for (size_t at = 1; at < len; at += part)
    {
      size_t more = len - at < part ? len - at : part;

      FUZZ_CHECK (mq_buffer_append (ctx, &body, data + at, more, SIZE_MAX));
      rows_text_scan (ctx, &text, &body);
    }
  accepted = compare (ctx, &body, &text);
  talloc_free (ctx);
  return accepted;
}
