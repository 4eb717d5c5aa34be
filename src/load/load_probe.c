/* load_probe.c - reads the counters of a site's processes.

   Needs: load_probe.h.  */

#include "load_probe.h"
#include <stdlib.h>
#include <string.h>

void
mq_load_site_add (struct mq_load_site *site, const char ***list, size_t *count,
                  const char *address)
{
  *list = talloc_realloc (site, *list, const char *, *count + 1);
  if (*list == NULL)
    abort ();
  (*list)[(*count)++] = address;
}

bool
mq_load_site_discover (struct mq_ctl *ctl, struct mq_load_site *site,
                       struct mq_error *error)
{
  struct mq_host_list *hosts = mq_ctl_hosts (ctl, site, error);

  if (hosts == NULL)
    return false;
  for (size_t i = 0; i < hosts->count; i++)
    switch (hosts->items[i].role)
      {
      case MQ_HOST_ENTRY:
        mq_load_site_add (site, &site->entries, &site->entry_count,
                          hosts->items[i].http);
        break;
      case MQ_HOST_TARGET:
        mq_load_site_add (site, &site->targets, &site->target_count,
                          hosts->items[i].http);
        break;
      }
  return true;
}

/* Returns the value of NAME in Prometheus text format, 0 if missing.  */
static uint64_t
read_metric (const char *text, const char *name)
{
  size_t len = strlen (name);

  for (const char *line = text; line != NULL; line = strchr (line, '\n'))
    {
      line += *line == '\n';
      if (strncmp (line, name, len) == 0 && line[len] == ' ')
        return strtoull (line + len, NULL, 10);
    }
  return 0;
}

static void
add_entry (struct mq_load_measures *sum, const char *text)
{
  sum->prompt_tokens += read_metric (text, "mimosa_owner_prompt_tokens");
  sum->recomputed_tokens
      += read_metric (text, "mimosa_owner_recomputed_tokens");
  sum->commits += read_metric (text, "mimosa_owner_commits");
}

static void
add_target (struct mq_load_measures *sum, const char *text)
{
  sum->gate_held_token_ms
      += read_metric (text, "mimosa_target_cache_token_ms");
  sum->gate_wasted_token_ms
      += read_metric (text, "mimosa_target_cache_wasted_token_ms");
  sum->generated_tokens
      += read_metric (text, "mimosa_target_generated_tokens");
}

static uint64_t
read_counter (const json_t *counters, const char *name)
{
  return (uint64_t)json_integer_value (json_object_get (counters, name));
}

static void
add_engine (struct mq_load_measures *sum, const char *text)
{
  json_t *json = json_loads (text, 0, NULL);
  const json_t *counters = json_object_get (json, "counters");

  sum->held_token_us += read_counter (counters, "held_token_us");
  sum->wasted_token_us += read_counter (counters, "wasted_token_us");
  sum->prefill_tokens += read_counter (counters, "prefill_tokens");
  sum->engine_prompt_tokens += read_counter (counters, "prompt_tokens");
  sum->preempted += read_counter (counters, "preempted");
  json_decref (json);
}

static void
add_service (struct mq_load_measures *sum, const char *text)
{
  json_t *json = json_loads (text, 0, NULL);

  sum->repeated_effects += read_counter (json, "repeated_keys");
  json_decref (json);
}

typedef void add_counters (struct mq_load_measures *sum, const char *text);

static void
probe_all (struct mq_ctl *ctl, const char *const *addresses, size_t count,
           const char *path, add_counters *add, struct mq_load_measures *sum,
           size_t *unreached)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_ctl_fetch *fetches
      = talloc_zero_array (ctx, struct mq_ctl_fetch, count + 1);

  if (fetches == NULL)
    abort ();
  for (size_t i = 0; i < count; i++)
    fetches[i] = (struct mq_ctl_fetch){ .method = "GET",
                                        .address = addresses[i],
                                        .path = path };
  mq_ctl_fetch (ctl, ctx, fetches, count);
  for (size_t i = 0; i < count; i++)
    if (fetches[i].error == MQ_ERR_NONE && fetches[i].status == 200)
      add (sum, fetches[i].body);
    else
      (*unreached)++;
  talloc_free (ctx);
}

void
mq_load_probe (struct mq_ctl *ctl, const struct mq_load_site *site,
               enum mq_load_workload workload,
               struct mq_load_measures *measures, size_t *unreached)
{
  const char *const *path;

  memset (measures, 0, sizeof *measures);
  *unreached = 0;
  probe_all (ctl, site->entries, site->entry_count, "/metrics", add_entry,
             measures, unreached);
  probe_all (ctl, site->targets, site->target_count, "/metrics", add_target,
             measures, unreached);
  probe_all (ctl, site->engines, site->engine_count, "/standin/stats",
             add_engine, measures, unreached);
  for (path = mq_load_non_idempotent_paths (workload); *path != NULL; path++)
    {
      char *query = talloc_asprintf (
          NULL, "/standin/effects?summary=1&path=%s", *path);

      probe_all (ctl, site->services, site->service_count, query, add_service,
                 measures, unreached);
      talloc_free (query);
    }
}

void
mq_load_measures_subtract (struct mq_load_measures *after,
                           const struct mq_load_measures *before)
{
#define SUBTRACT(name) after->name -= before->name;
  MQ_LOAD_MEASURE_LIST (SUBTRACT)
#undef SUBTRACT
}
