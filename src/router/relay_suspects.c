/* relay_suspects.c - the hosts that are told of the ends of runs at workers.

   Needs: relay_state.h, id.h, memory.h, clock.h.  */

#include "relay_state.h"
#include "core/id.h"
#include "core/memory.h"
#include "net/clock.h"
#include <stdlib.h>

/* Time within which a host that starts is listed by the others.  */
#define ASKED_MS 30000U

/**
 * struct keeper - a host that may be told
 */
struct keeper
{
  struct host *host;
  uint64_t weight;
};

/* A host that is stopping is not listed any more, and serves the callers that
   it has.

   Failure: while all hosts are stopped one after the other, each knows its own
   ends alone.  */
static bool
may_be_told (const struct host *host, uint64_t now)
{
  bool known = host->link != NULL || host->listed || host->seed
               || host->asked_until_ms > now;

  return known && relay_may_reach (host, now);
}

static int
compare_keepers (const void *a, const void *b)
{
  const struct keeper *x = a;
  const struct keeper *y = b;

  if (x->weight == y->weight)
    return 0;
  return x->weight > y->weight ? -1 : 1;
}

/* Stores the hosts that may be told of WORK in a new array below CTX, the
   first keepers first, and their number in COUNT.  */
static struct keeper *
list_keepers (TALLOC_CTX *ctx, const struct mq_relay *relay, struct mq_id work,
              size_t *count)
{
  uint64_t now = mq_clock_ms ();
  struct keeper *list = mq_check_alloc (
      talloc_zero_array (ctx, struct keeper, mq_relay_host_count (relay) + 1));

  *count = 0;
  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    if (may_be_told (host, now))
      list[(*count)++]
          = (struct keeper){ host,
                             mq_rendezvous_weight (host->address, work.lo) };
  if (*count > MQ_RELAY_KEEPERS_MAX)
    qsort (list, *count, sizeof *list, compare_keepers);
  return list;
}

static uint32_t
send_frame (struct mq_relay *relay, const struct mq_suspects_end *ends,
            size_t end_count, size_t hosts_max)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_RUN_ENDS,
          .u.run_ends = { .ends = ends, .count = end_count } };
  TALLOC_CTX *ctx = mq_check_alloc (talloc_new (NULL));
  struct mq_bytes bytes = mq_relay_frame_pack (ctx, &frame);
  size_t count;
  struct keeper *list = list_keepers (ctx, relay, ends[0].work, &count);
  uint32_t sent = 0;

  for (size_t i = 0; i < count && i < hosts_max; i++)
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

uint32_t
mq_relay_send_ends (struct mq_relay *relay, const struct mq_suspects_end *ends,
                    size_t count, bool everyone)
{
  uint32_t sent = 0;

  if (everyone || mq_relay_host_count (relay) <= MQ_RELAY_KEEPERS_MAX)
    return send_frame (relay, ends, count, SIZE_MAX);
  for (size_t i = 0; i < count; i++)
    sent += send_frame (relay, &ends[i], 1, MQ_RELAY_KEEPERS_MAX);
  return sent;
}

uint32_t
mq_relay_ends_hosts (const struct mq_relay *relay)
{
  uint64_t now = mq_clock_ms ();
  uint32_t count = 0;

  for (const struct host *host = relay->hosts; host != NULL; host = host->next)
    count += may_be_told (host, now) ? 1U : 0U;
  return count;
}

bool
mq_relay_tells_everyone (const struct mq_relay *relay, struct mq_id work)
{
  uint64_t own = mq_rendezvous_weight (relay->own_address, work.lo);
  uint64_t now = mq_clock_ms ();

  if (mq_relay_host_count (relay) <= MQ_RELAY_KEEPERS_MAX)
    return false;
  for (const struct host *host = relay->hosts; host != NULL; host = host->next)
    if (may_be_told (host, now)
        && mq_rendezvous_weight (host->address, work.lo) > own)
      return false;
  return true;
}

/* A host that has just started may know others by its settings alone.  */
uint32_t
mq_relay_ask_ends (struct mq_relay *relay)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_RUN_ENDS,
          .u.run_ends = { .wanted = true, .address = relay->own_address } };
  uint32_t asked = 0;

  for (struct host *host = relay->hosts;
       host != NULL && asked < MQ_RELAY_ENDS_ASKED_MAX; host = host->next)
    asked += relay_send_to_host (relay, host, &frame) ? 1U : 0U;
  return asked;
}

/* The host that asked may not be listed yet.  No link to it is opened: hosts
   with one are the first that are asked for loans.

   Failure: a host that has started again is not told of ends since its earlier
   run could not be reached, though it asks for them.  */
void
mq_relay_reply_ends (struct mq_relay *relay, struct mq_relay_link *link,
                     const char *address, const struct mq_suspects_end *ends,
                     size_t count)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_RUN_ENDS,
          .u.run_ends = { .ends = ends, .count = count } };

  struct host *host = relay_add_host (relay, address);

  relay_send_frame (relay, link, &frame);
  if (host == NULL)
    return;
  host->asked_until_ms = mq_clock_ms () + ASKED_MS;
  host->loan_after_ms = 0;
}
