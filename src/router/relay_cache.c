/* relay_cache.c - cache hosts: the host of each data centre that keeps the
   state of a program between its turns.

   The turns of a program arrive at any host of its data centre.  Where these
   are too many to be asked for each turn, the program's id selects one.

   Failure: each turn reads its history and takes a grant of its own from the
   table.  While the table is slow, turns wait for several calls in a row, and
   grants left at other hosts exhaust the budget.
   Needs: relay_state.h, id.h, clock.h.  */

#include "relay_state.h"
#include "core/id.h"
#include "net/clock.h"
#include <string.h>

/* Hash seed for the assignment of programs to cache hosts.  */
#define CACHE_HOST_SEED 5U

/**
 * struct best_host - the preferred cache host of a data centre
 */
struct best_host
{
  struct host *host;
  uint64_t weight;
};

static uint64_t
program_key (const char *program)
{
  return mq_hash_bytes (program, strlen (program), CACHE_HOST_SEED);
}

bool
mq_relay_uses_cache_hosts (const struct mq_relay *relay)
{
  uint32_t near = 0;

  for (const struct host *host = relay->hosts; host != NULL; host = host->next)
    near += host->near ? 1U : 0U;
  return near > MQ_RELAY_LOAN_HOSTS_MAX;
}

static bool
is_available (const struct host *host, uint64_t now)
{
  return host->listed && host->caches_programs && host->loan_after_ms <= now;
}

struct host *
relay_cache_host (const struct mq_relay *relay, const char *program)
{
  uint64_t key = program_key (program);
  uint64_t now = mq_clock_ms ();
  struct best_host best
      = { NULL, mq_rendezvous_weight (relay->own_address, key) };

  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    {
      uint64_t weight;

      if (!host->near || !is_available (host, now))
        continue;
      weight = mq_rendezvous_weight (host->address, key);
      if (weight > best.weight)
        best = (struct best_host){ host, weight };
    }
  return best.host;
}

/* Keeps HOST in FOUND if no other host of its data centre is preferred.
   Returns the number of data centres.  */
static size_t
keep_best (struct best_host found[RELAY_DATA_CENTRES_MAX], size_t count,
           struct best_host candidate)
{
  size_t i = 0;

  while (i < count
         && found[i].host->data_centre != candidate.host->data_centre)
    i++;
  if (i == RELAY_DATA_CENTRES_MAX)
    return count;
  if (i == count || candidate.weight > found[i].weight)
    found[i] = candidate;
  return i == count ? count + 1 : count;
}

size_t
relay_cache_hosts (const struct mq_relay *relay, const char *program,
                   struct host *found[RELAY_DATA_CENTRES_MAX])
{
  struct best_host best[RELAY_DATA_CENTRES_MAX];
  uint64_t key = program_key (program);
  uint64_t now = mq_clock_ms ();
  size_t count = 0;

  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    if (is_available (host, now))
      count = keep_best (best, count,
                         (struct best_host){ host, mq_rendezvous_weight (
                                                       host->address, key) });
  for (size_t i = 0; i < count; i++)
    found[i] = best[i].host;
  return count;
}

const char *
mq_relay_cache_host (const struct mq_relay *relay, const char *program)
{
  const struct host *host = relay_cache_host (relay, program);

  return host == NULL ? NULL : host->address;
}

bool
mq_relay_hand_over (struct mq_relay *relay, const char *address,
                    const struct mq_relay_loan_reply *handover)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_HANDOVER, .u.handover = *handover };

  return relay_send_to_host (relay, relay_find_host (relay, address), &frame);
}
