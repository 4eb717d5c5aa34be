/* relay_lease.c - the host that takes over a lease.

   Needs: relay_state.h, clock.h.  */

#include "relay_state.h"
#include "net/clock.h"

/* Whether HOST is likely to be alive.  Hosts without a link are tried only
   where there is none with one.  */
static bool
may_take_over (const struct host *host, bool linked, uint64_t now)
{
  return (linked ? host->link != NULL : host->listed)
         && host->loan_after_ms <= now;
}

static uint32_t
count_hosts (const struct mq_relay *relay, bool linked, uint64_t now)
{
  uint32_t count = 0;

  for (const struct host *host = relay->hosts; host != NULL; host = host->next)
    count += may_take_over (host, linked, now) ? 1U : 0U;
  return count;
}

/* The host for SLOT; NULL if there is none.  */
static struct host *
choose_host (const struct mq_relay *relay, uint32_t slot)
{
  uint64_t now = mq_clock_ms ();
  bool linked = count_hosts (relay, true, now) > 0;
  uint32_t count = count_hosts (relay, linked, now);
  uint32_t skip;

  if (count == 0)
    return NULL;
  skip = slot % count;
  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    if (may_take_over (host, linked, now) && skip-- == 0)
      return host;
  return NULL;
}

bool
mq_relay_hand_over_lease (struct mq_relay *relay,
                          const struct mq_relay_lease_handover *handover)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_LEASE, .u.lease_handover = *handover };

  return relay_send_to_host (relay, choose_host (relay, handover->slot),
                             &frame);
}
