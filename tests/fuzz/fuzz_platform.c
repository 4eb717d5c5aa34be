/* fuzz_platform.c - the platform's answers (platform_answer.c).

   Input: "KIND STATUS", KIND of "txn", "scan", "get", "put", "drop" or
   "hosts", then the body.
   Needs: fuzz.h, platform_answer.h.  */

#include "fuzz.h"
#include "daemon/platform_answer.h"
#include <stdio.h>
#include <string.h>

FUZZ_MAIN (platform)

static const char *const kinds[] = { [MQ_STORE_TXN] = "txn",
                                     [MQ_STORE_SCAN] = "scan",
                                     [MQ_STORE_PUT] = "put",
                                     [MQ_STORE_GET] = "get",
                                     [MQ_STORE_DELETE] = "drop" };

static void
check_rows (const struct mq_store_request *request,
            const struct mq_store_result *result)
{
  const char *last = "";

  FUZZ_CHECK (!result->more || result->row_count > 0);
  for (size_t i = 0; i < result->row_count; i++)
    {
      const struct mq_row *row = &result->rows[i];

      FUZZ_CHECK (row->key != NULL);
      if (request->kind != MQ_STORE_SCAN)
        continue;
      FUZZ_CHECK (strncmp (row->key, request->key, strlen (request->key))
                  == 0);
      FUZZ_CHECK (strcmp (row->key, last) > 0);
      last = row->key;
    }
}

static void
check_result (const struct mq_store_request *request,
              const struct mq_http_result *http,
              const struct mq_store_result *result)
{
  switch (result->status)
    {
    case MQ_STORE_OK:
      FUZZ_CHECK (http->status == 200 || request->kind == MQ_STORE_DELETE);
      break;
    case MQ_STORE_CONFLICT:
      FUZZ_CHECK (request->kind == MQ_STORE_TXN && http->status == 409);
      break;
    case MQ_STORE_MISSING:
      FUZZ_CHECK (request->kind == MQ_STORE_GET && http->status == 404);
      break;
    case MQ_STORE_DOWN:
      FUZZ_CHECK (http->status == 503 || request->kind == MQ_STORE_SCAN
                  || request->kind == MQ_STORE_GET);
      break;
    case MQ_STORE_LOST:
      FUZZ_CHECK (request->kind != MQ_STORE_SCAN
                  && request->kind != MQ_STORE_GET);
      break;
    case MQ_STORE_REJECTED:
      FUZZ_CHECK (false);
      break;
    }
  check_rows (request, result);
}

static bool
read_store (TALLOC_CTX *ctx, enum mq_store_kind kind,
            const struct mq_http_result *http)
{
  struct mq_store_op ops[]
      = { { .key = (char *)"part/00001" },
          { .key = (char *)"log/00001/7", .remove = true } };
  struct mq_store_request request = { .kind = kind,
                                      .ops = ops,
                                      .op_count = 2,
                                      .key = (char *)"part/",
                                      .after = (char *)"" };
  uint64_t malformed = 0;
  struct mq_store_result result
      = mq_platform_read_answer (ctx, &request, http, &malformed);

  check_result (&request, http, &result);
  return result.status == MQ_STORE_OK || result.status == MQ_STORE_CONFLICT
         || result.status == MQ_STORE_MISSING;
}

static bool
read_hosts (TALLOC_CTX *ctx, const struct mq_http_result *http)
{
  uint64_t malformed = 0;
  const struct mq_host_list *hosts
      = mq_platform_read_hosts (ctx, http, &malformed);

  FUZZ_CHECK (hosts != NULL || malformed == 1);
  for (size_t i = 0; hosts != NULL && i < hosts->count; i++)
    FUZZ_CHECK (hosts->items[i].name != NULL && hosts->items[i].address != NULL
                && hosts->items[i].data_centre != NULL);
  return hosts != NULL;
}

bool
fuzz_platform (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct fuzz_input input = { data, len };
  struct mq_http_result http = { .sent = true };
  const char *line = fuzz_next_line (ctx, &input);
  char kind[8];
  bool accepted = false;

  if (line != NULL && sscanf (line, "%7s %3d", kind, &http.status) == 2)
    {
      http.body = fuzz_rest (ctx, &input);
      http.len = input.len;
      if (strcmp (kind, "hosts") == 0)
        accepted = read_hosts (ctx, &http);
      for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
        if (strcmp (kind, kinds[i]) == 0)
          accepted = read_store (ctx, (enum mq_store_kind)i, &http);
    }
  talloc_free (ctx);
  return accepted;
}
