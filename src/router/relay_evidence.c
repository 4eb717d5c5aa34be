/* relay_evidence.c - the hosts that are told what this host saw of workers.

   Needs: relay_state.h, id.h, memory.h, clock.h.  */

#include "relay_state.h"
#include "core/id.h"
#include "core/memory.h"
#include "net/clock.h"
#include <stdlib.h>
#include <string.h>

/* Hash seed for names of hosts in reports.  */
#define EVIDENCE_SEED 6U

/**
 * struct receiver - a host that may be told
 */
struct receiver
{
  struct host *host;
  uint64_t weight;
};

uint64_t
mq_relay_evidence_name (const char *address)
{
  return mq_hash_bytes (address, strlen (address), EVIDENCE_SEED);
}

const char *
mq_relay_evidence_address (const struct mq_relay *relay, uint64_t name)
{
  for (const struct host *host = relay->hosts; host != NULL; host = host->next)
    if (mq_relay_evidence_name (host->address) == name)
      return host->address;
  return NULL;
}

static bool
may_be_told (const struct host *host, uint64_t now)
{
  return host->listed && relay_may_reach (host, now);
}

uint32_t
mq_relay_evidence_hosts (const struct mq_relay *relay)
{
  uint64_t now = mq_clock_ms ();
  uint32_t count = 0;

  for (const struct host *host = relay->hosts;
       host != NULL && count < MQ_RELAY_EVIDENCE_HOSTS_MAX; host = host->next)
    count += may_be_told (host, now) ? 1U : 0U;
  return count;
}

/* Hosts of this data centre first, then by weight.  */
static int
compare_receivers (const void *a, const void *b)
{
  const struct receiver *x = a;
  const struct receiver *y = b;

  if (x->host->near != y->host->near)
    return x->host->near ? -1 : 1;
  if (x->weight != y->weight)
    return x->weight > y->weight ? -1 : 1;
  return 0;
}

/* Stores the receivers in a new array below CTX, and their number in COUNT. */
static struct receiver *
list_receivers (TALLOC_CTX *ctx, const struct mq_relay *relay, size_t *count)
{
  uint64_t key = mq_relay_evidence_name (relay->own_address);
  uint64_t now = mq_clock_ms ();
  struct receiver *list = mq_check_alloc (talloc_zero_array (
      ctx, struct receiver, mq_relay_host_count (relay) + 1));

  *count = 0;
  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    if (may_be_told (host, now))
      list[(*count)++]
          = (struct receiver){ host,
                               mq_rendezvous_weight (host->address, key) };
  qsort (list, *count, sizeof *list, compare_receivers);
  if (*count > MQ_RELAY_EVIDENCE_HOSTS_MAX)
    *count = MQ_RELAY_EVIDENCE_HOSTS_MAX;
  return list;
}

uint32_t
mq_relay_send_evidence (struct mq_relay *relay,
                        const struct mq_evidence_report *report)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_EVIDENCE, .u.evidence = *report };
  TALLOC_CTX *ctx = mq_check_alloc (talloc_new (NULL));
  struct mq_bytes bytes = mq_relay_frame_pack (ctx, &frame);
  size_t count;
  struct receiver *list = list_receivers (ctx, relay, &count);
  uint32_t sent = 0;

  for (size_t i = 0; i < count; i++)
    {
      struct mq_relay_link *link = relay_open_link (relay, list[i].host);

      if (link == NULL)
        continue;
      mq_relay_link_send (link, bytes);
      sent++;
    }
  talloc_free (ctx);
  return sent;
}
