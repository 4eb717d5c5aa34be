/* ctl_router_fetch.c - requests to the readiness endpoints of routers.

   Needs: ctl_run.h.  */

#include "ctl_run.h"
#include <string.h>

#define ROUTERS_MAX 2048U

/* Creates a request for each of PATHS at each address of LIST.  Returns NULL
   if LIST is empty, invalid or too long.  */
static struct mq_ctl_fetch *
make_fetches (TALLOC_CTX *ctx, const char *list, const char *const *paths,
              size_t path_count, size_t *count)
{
  struct mq_ctl_fetch *fetches
      = talloc_zero_array (ctx, struct mq_ctl_fetch, path_count * ROUTERS_MAX);
  char *rest = talloc_strdup (ctx, list);
  char *position = NULL;

  *count = 0;
  for (char *address = strtok_r (rest, ",", &position); address != NULL;
       address = strtok_r (NULL, ",", &position))
    {
      if (*count == ROUTERS_MAX || strchr (address, ':') == NULL)
        return NULL;
      for (size_t i = 0; i < path_count; i++)
        fetches[path_count * *count + i] = (struct mq_ctl_fetch){
          .method = "GET", .address = address, .path = paths[i]
        };
      ++*count;
    }
  return *count == 0 ? NULL : fetches;
}

struct mq_ctl_fetch *
mq_ctl_fetch_routers (const struct mq_ctl_run *run, const char *addresses,
                      const char *const *paths, size_t path_count,
                      size_t *count, enum mq_ctl_exit *code)
{
  struct mq_ctl_options options
      = { .host_timeout_ms = MQ_CTL_HOST_TIMEOUT_MS };
  struct mq_error error = { 0 };
  struct mq_ctl_fetch *fetches
      = make_fetches (run->ctx, addresses, paths, path_count, count);
  struct mq_ctl *ctl;

  if (fetches == NULL)
    {
      mq_error_set (&error, MQ_ERR_BAD_REQUEST, addresses,
                    "IP:PORT,IP:PORT,…: ready addresses of 1 to 2048 routers");
      *code = mq_ctl_report_error (run, &error);
      return NULL;
    }
  ctl = mq_ctl_create (run->ctx, &options, &error);
  if (ctl == NULL)
    {
      *code = mq_ctl_report_error (run, &error);
      return NULL;
    }
  mq_ctl_fetch (ctl, run->ctx, fetches, path_count * *count);
  mq_ctl_destroy (ctl);
  return fetches;
}
