/* ctl_status.c - formats the state of a site from its hosts' responses.

   Needs: ctl_status.h.  */

#include "ctl_status.h"
#include <stdlib.h>
#include <string.h>

#define PARTITIONS_MAX 65536U
#define PERCENT 100.0
/* States of a partition at an entry host, see src/core/owner/owner.c.  */
#define STATE_ACTIVE "active"
#define STATE_CLAIMING "claiming"

/**
 * struct claim - reported ownership of a partition
 * @host: index in the fleet of the owner, which has the highest fence; -1 if
 *        no host reports the partition
 * @fence: fence of the owner
 * @programs: number of programs in the partition
 * @state: state that the owner reports
 * @rival: index of another host that reports ownership; -1 if none
 */
struct claim
{
  int32_t host;
  int32_t rival;
  uint64_t fence;
  uint64_t programs;
  const char *state;
};

/**
 * struct summary - totals over all hosts
 * @claims: one for each partition
 * @active: number of partitions with an active owner
 * @unknown_calls: calls whose effect is unknown, from all hosts
 * @cache_ended_tokens: tokens cached in engines for programs that have ended
 * @reached: number of hosts that responded
 * @cache_token_ms: token-time cached
 * @cache_wasted_token_ms: part of @cache_token_ms that was never reused
 * @recomputed_tokens: part of @prompt_tokens that was computed again
 */
struct summary
{
  struct claim *claims;
  uint32_t claim_count;
  uint32_t active;
  json_t *unknown_calls;
  uint64_t cache_ended_tokens;
  size_t reached;
  uint64_t cache_token_ms;
  uint64_t cache_wasted_token_ms;
  uint64_t prompt_tokens;
  uint64_t recomputed_tokens;
};

/* Aggregation.  */

static uint64_t
get_number (json_t *object, const char *name)
{
  json_int_t value = json_integer_value (json_object_get (object, name));

  return value > 0 ? (uint64_t)value : 0;
}

static const char *
get_text (json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text == NULL ? "" : text;
}

/* Sums the counter NAME in VALUE and all nested objects, since daemons group
   counters by component.  */
static uint64_t
sum_counter (json_t *value, const char *name)
{
  uint64_t sum = 0;
  const char *key;
  json_t *item;

  json_object_foreach (value, key, item)
  {
    if (json_is_integer (item) && strcmp (key, name) == 0)
      sum += get_number (value, name);
    else if (json_is_object (item))
      sum += sum_counter (item, name);
  }
  return sum;
}

/* The highest fence wins; a host in state "claiming" has none yet.  */
static uint64_t
claim_rank (uint64_t fence, const char *state)
{
  if (strcmp (state, STATE_CLAIMING) == 0)
    return 0;
  return 2 * fence + (strcmp (state, STATE_ACTIVE) == 0) + 1;
}

static void
add_claim (struct summary *summary, int32_t host, json_t *item)
{
  json_int_t partition
      = json_integer_value (json_object_get (item, "partition"));
  struct claim new = { .host = host,
                       .rival = -1,
                       .fence = get_number (item, "fence"),
                       .programs = get_number (item, "programs"),
                       .state = get_text (item, "state") };
  uint64_t rank = claim_rank (new.fence, new.state);
  struct claim *claim;
  uint64_t other;

  if (partition < 0 || partition >= (json_int_t)summary->claim_count)
    return;
  claim = &summary->claims[partition];
  other = claim->host < 0 ? 0 : claim_rank (claim->fence, claim->state);
  if (claim->host < 0 || rank > other)
    {
      new.rival = other > 0 ? claim->host : -1;
      *claim = new;
    }
  else if (rank > 0)
    claim->rival = host;
}

static void
add_claims (struct summary *summary, int32_t host, json_t *status)
{
  json_t *items = json_object_get (status, "partitions");
  json_t *item;
  size_t i;

  json_array_foreach (items, i, item) { add_claim (summary, host, item); }
}

static void
add_host (struct summary *summary, int32_t index, json_t *status)
{
  json_t *counters = json_object_get (status, "counters");
  json_t *owner = json_object_get (status, "owner");

  summary->reached++;
  add_claims (summary, index, status);
  json_array_extend (summary->unknown_calls,
                     json_object_get (status, "unknown_calls"));
  summary->cache_ended_tokens += get_number (status, "cache_ended_tokens");
  summary->cache_token_ms += sum_counter (counters, "cache_token_ms");
  summary->cache_wasted_token_ms
      += sum_counter (counters, "cache_wasted_token_ms");
  summary->prompt_tokens += get_number (owner, "prompt_tokens");
  summary->recomputed_tokens += get_number (owner, "recomputed_tokens");
}

/* Number of partitions that the hosts report, for when the configuration is
   unavailable.  */
static uint32_t
count_reported_partitions (const struct mq_ctl_fleet *fleet)
{
  uint32_t count = 0;

  for (size_t i = 0; i < fleet->count; i++)
    {
      json_t *items = json_object_get (fleet->items[i].status, "partitions");
      json_t *item;
      size_t j;

      json_array_foreach (items, j, item)
      {
        uint64_t partition = get_number (item, "partition");

        if (partition < PARTITIONS_MAX && partition + 1 > count)
          count = (uint32_t)partition + 1;
      }
    }
  return count;
}

static bool
is_active (const struct claim *claim)
{
  return claim->host >= 0 && strcmp (claim->state, STATE_ACTIVE) == 0;
}

static int
free_summary (struct summary *summary)
{
  json_decref (summary->unknown_calls);
  return 0;
}

static struct summary *
make_summary (TALLOC_CTX *ctx, const struct mq_ctl_site *site)
{
  const struct mq_ctl_fleet *fleet = site->fleet;
  struct summary *summary = talloc_zero (ctx, struct summary);

  talloc_set_destructor (summary, free_summary);
  summary->claim_count = site->partitions > 0
                             ? site->partitions
                             : count_reported_partitions (fleet);
  summary->claims
      = talloc_zero_array (summary, struct claim, summary->claim_count);
  summary->unknown_calls = json_array ();
  for (uint32_t i = 0; i < summary->claim_count; i++)
    summary->claims[i] = (struct claim){ .host = -1, .rival = -1 };
  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->items[i].status != NULL)
      add_host (summary, (int32_t)i, fleet->items[i].status);
  for (uint32_t i = 0; i < summary->claim_count; i++)
    summary->active += is_active (&summary->claims[i]);
  return summary;
}

static const char *
role_name (enum mq_host_role role)
{
  return role == MQ_HOST_ENTRY ? "entry" : "target";
}

/* Combines the state in the host list with the reported state.  */
static const char *
host_state (const struct mq_ctl_host *host)
{
  const char *state = get_text (host->status, "state");

  if (host->error != MQ_ERR_NONE)
    return "unreachable";
  if (host->host->leaving)
    return "leaving";
  return *state == '\0' ? "-" : state;
}

/* Text.  */

static char *
append_hosts (char *text, const struct mq_ctl_site *site)
{
  text = talloc_asprintf_append_buffer (text, "%-20s %-7s %-16s %-12s %8s\n",
                                        "HOST", "ROLE", "DATA CENTRE", "STATE",
                                        "VERSION");
  for (size_t i = 0; i < site->fleet->count; i++)
    {
      const struct mq_ctl_host *host = &site->fleet->items[i];
      uint64_t version = mq_ctl_host_version (host);

      text = talloc_asprintf_append_buffer (
          text, "%-20s %-7s %-16s %-12s ", host->host->name,
          role_name (host->host->role), host->host->data_centre,
          host_state (host));
      if (host->status == NULL)
        text = talloc_asprintf_append_buffer (text, "%8s  %s\n", "-",
                                              mq_error_name (host->error));
      else
        text = talloc_asprintf_append_buffer (
            text, "%8llu%s\n", (unsigned long long)version,
            version < site->version ? "  behind" : "");
    }
  return text;
}

/* Appends the partitions that HOST owns as ranges, such as "0-3,7"; HOST is -1
   for partitions without an owner.  */
static char *
append_ranges (char *text, const struct summary *summary, int32_t host)
{
  const char *separator = "";

  for (uint32_t i = 0; i < summary->claim_count; i++)
    {
      uint32_t last = i;

      if (summary->claims[i].host != host)
        continue;
      while (last + 1 < summary->claim_count
             && summary->claims[last + 1].host == host)
        last++;
      text = last == i
                 ? talloc_asprintf_append_buffer (text, "%s%u", separator, i)
                 : talloc_asprintf_append_buffer (text, "%s%u-%u", separator,
                                                  i, last);
      separator = ",";
      i = last;
    }
  return text;
}

static char *
append_owner (char *text, const struct summary *summary,
              const struct mq_ctl_fleet *fleet, int32_t host)
{
  uint64_t programs = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < summary->claim_count; i++)
    if (summary->claims[i].host == host)
      {
        programs += summary->claims[i].programs;
        count++;
      }
  if (count == 0)
    return text;
  text = talloc_asprintf_append_buffer (
      text, "  %-20s %6u owned %8llu programs  ",
      fleet->items[host].host->name, count, (unsigned long long)programs);
  text = append_ranges (text, summary, host);
  return talloc_strdup_append_buffer (text, "\n");
}

/* Appends a line if the owner is not active, or if a second host reports
   ownership.  */
static char *
append_claim (char *text, const struct mq_ctl_fleet *fleet, uint32_t partition,
              const struct claim *claim)
{
  if (claim->host >= 0 && !is_active (claim))
    text = talloc_asprintf_append_buffer (text, "  %u: %s is %s\n", partition,
                                          fleet->items[claim->host].host->name,
                                          claim->state);
  if (claim->rival >= 0)
    text = talloc_asprintf_append_buffer (
        text, "  %u: %s still names it, %s has the higher fence %llu\n",
        partition, fleet->items[claim->rival].host->name,
        fleet->items[claim->host].host->name,
        (unsigned long long)claim->fence);
  return text;
}

static bool
all_claimed (const struct summary *summary)
{
  for (uint32_t i = 0; i < summary->claim_count; i++)
    if (summary->claims[i].host < 0)
      return false;
  return true;
}

static char *
append_partitions (char *text, const struct summary *summary,
                   const struct mq_ctl_fleet *fleet)
{
  text = talloc_asprintf_append_buffer (text, "partitions: %u of %u active\n",
                                        summary->active, summary->claim_count);
  for (size_t i = 0; i < fleet->count; i++)
    text = append_owner (text, summary, fleet, (int32_t)i);
  if (!all_claimed (summary))
    {
      text = talloc_strdup_append_buffer (text, "  no owner is known of: ");
      text = append_ranges (text, summary, -1);
      text = talloc_strdup_append_buffer (text, "\n");
    }
  for (uint32_t i = 0; i < summary->claim_count; i++)
    text = append_claim (text, fleet, i, &summary->claims[i]);
  return text;
}

static char *
append_unknown_calls (char *text, const struct summary *summary)
{
  json_t *call;
  size_t i;

  text = talloc_asprintf_append_buffer (
      text, "calls whose effect is unknown: %zu\n",
      json_array_size (summary->unknown_calls));
  json_array_foreach (summary->unknown_calls, i, call)
  {
    text = talloc_asprintf_append_buffer (
        text, "  program %s call %llu service %s target %s\n",
        get_text (call, "program"),
        (unsigned long long)get_number (call, "call"),
        get_text (call, "service"), get_text (call, "target"));
  }
  return text;
}

static double
percent (uint64_t part, uint64_t whole)
{
  return whole == 0 ? 0 : PERCENT * (double)part / (double)whole;
}

static char *
append_latency (char *text, const struct mq_ctl_fleet *fleet)
{
  size_t shown = 0;

  for (size_t i = 0; i < fleet->count; i++)
    {
      json_t *items = json_object_get (fleet->items[i].status, "latency");
      json_t *item;
      size_t j;

      json_array_foreach (items, j, item)
      {
        bool follow_up = json_is_true (json_object_get (item, "follow_up"));

        text = talloc_asprintf_append_buffer (
            text,
            "  %-20s %-20s%s %8llu programs, ms p50 %llu p95 %llu "
            "p99 %llu; failed %llu refused %llu gone %llu\n",
            fleet->items[i].host->name, get_text (item, "service"),
            follow_up ? " follow-ups" : "",
            (unsigned long long)get_number (item, "count"),
            (unsigned long long)get_number (item, "p50_ms"),
            (unsigned long long)get_number (item, "p95_ms"),
            (unsigned long long)get_number (item, "p99_ms"),
            (unsigned long long)get_number (item, "failed"),
            (unsigned long long)get_number (item, "refused"),
            (unsigned long long)get_number (item, "gone"));
        shown++;
      }
    }
  if (shown == 0)
    text = talloc_strdup_append_buffer (text, "  not reported\n");
  return text;
}

static char *
append_measures (char *text, const struct summary *summary,
                 const struct mq_ctl_fleet *fleet)
{
  text = talloc_asprintf_append_buffer (
      text, "cache held for ended programs: %llu tokens\n",
      (unsigned long long)summary->cache_ended_tokens);
  text = talloc_strdup_append_buffer (text, "program latency:\n");
  text = append_latency (text, fleet);
  return talloc_asprintf_append_buffer (
      text,
      "wasted cache: %.2f%% of token-time held, %.2f%% of prompt tokens "
      "computed again\n",
      percent (summary->cache_wasted_token_ms, summary->cache_token_ms),
      percent (summary->recomputed_tokens, summary->prompt_tokens));
}

char *
mq_ctl_status_text (TALLOC_CTX *ctx, const struct mq_ctl_site *site)
{
  const struct mq_ctl_fleet *fleet = site->fleet;
  struct summary *summary = make_summary (ctx, site);
  char *text = talloc_asprintf (
      ctx, "configuration in force: %llu; hosts: %zu listed, %zu reached\n",
      (unsigned long long)site->version, fleet->count, summary->reached);

  text = append_hosts (text, site);
  text = append_partitions (text, summary, fleet);
  text = append_unknown_calls (text, summary);
  text = append_measures (text, summary, fleet);
  talloc_free (summary);
  return text;
}

/* JSON.  */

static json_t *
host_json (const struct mq_ctl_host *host)
{
  return json_pack (
      "{ss ss ss ss ss sb ss ss sI sO?}", "host", host->host->name, "role",
      role_name (host->host->role), "data_centre", host->host->data_centre,
      "region", host->host->region, "http", host->host->http, "leaving",
      (int)host->host->leaving, "state", host_state (host), "error",
      mq_error_name (host->error), "config_version",
      (json_int_t)mq_ctl_host_version (host), "status", host->status);
}

static json_t *
claim_json (uint32_t partition, const struct claim *claim,
            const struct mq_ctl_fleet *fleet)
{
  const char *owner
      = claim->host < 0 ? NULL : fleet->items[claim->host].host->name;
  const char *rival
      = claim->rival < 0 ? NULL : fleet->items[claim->rival].host->name;

  return json_pack ("{si ss? ss? sI sI ss?}", "partition", (int)partition,
                    "owner", owner, "rival", rival, "fence",
                    (json_int_t)claim->fence, "programs",
                    (json_int_t)claim->programs, "state", claim->state);
}

static json_t *
measures_json (const struct summary *summary)
{
  return json_pack (
      "{sI sI sI sI}", "cache_token_ms", (json_int_t)summary->cache_token_ms,
      "cache_wasted_token_ms", (json_int_t)summary->cache_wasted_token_ms,
      "prompt_tokens", (json_int_t)summary->prompt_tokens, "recomputed_tokens",
      (json_int_t)summary->recomputed_tokens);
}

char *
mq_ctl_status_json (TALLOC_CTX *ctx, const struct mq_ctl_site *site)
{
  const struct mq_ctl_fleet *fleet = site->fleet;
  struct summary *summary = make_summary (ctx, site);
  json_t *hosts = json_array ();
  json_t *partitions = json_array ();
  json_t *root;
  char *dump;
  char *text;

  for (size_t i = 0; i < fleet->count; i++)
    json_array_append_new (hosts, host_json (&fleet->items[i]));
  for (uint32_t i = 0; i < summary->claim_count; i++)
    json_array_append_new (partitions,
                           claim_json (i, &summary->claims[i], fleet));
  root = json_pack ("{sI so so sO sI so}", "config_version",
                    (json_int_t)site->version, "hosts", hosts, "partitions",
                    partitions, "unknown_calls", summary->unknown_calls,
                    "cache_ended_tokens",
                    (json_int_t)summary->cache_ended_tokens, "measures",
                    measures_json (summary));
  dump = json_dumps (root, JSON_COMPACT);
  text = talloc_strdup (ctx, dump == NULL ? "{}" : dump);
  free (dump);
  json_decref (root);
  talloc_free (summary);
  return text;
}
