/* relay_loan.c - loan requests for tokens or a history, sent to many hosts at
   once.

   Needs: relay_state.h, timer.h, clock.h.  */

#include "relay_state.h"
#include "net/clock.h"
#include "net/timer.h"

void
relay_clear_loan_request (struct host *host)
{
  TALLOC_FREE (host->loan_timer);
  host->loan_late = false;
}

/* A late reply ends the backoff for loans, or turns whose history the host
   holds would be refused.  The backoff for relayed calls stays.  */
void
relay_on_loan_reply (struct mq_relay *relay, const struct mq_relay_link *link,
                     const struct mq_relay_loan_reply *reply)
{
  struct host *host = relay_host_of_link (relay, link);

  if (host == NULL)
    return;
  relay_clear_loan_request (host);
  host->loan_after_ms = 0;
  relay->owner.loan_reply (reply, host->address, relay->owner.user);
}

static void
on_loan_timeout (void *data)
{
  struct host *host = data;

  host->loan_timer = NULL;
  host->loan_late = true;
}

/* The timeout is a timer, not a comparison of times: if this host was blocked,
   a reply that arrived in time is read before the timer runs.  */
static void
start_timeout (struct mq_relay *relay, struct host *host)
{
  if (host->loan_timer == NULL)
    host->loan_timer = mq_timer_add (host, relay->ev, MQ_RELAY_LOAN_TIMEOUT_MS,
                                     on_loan_timeout, host);
}

/* Whether a request to HOST has timed out.  A host with unread data, or with
   an unprocessed connection, is not judged yet.  */
static bool
has_timed_out (const struct host *host)
{
  return host->loan_late
         && (host->link == NULL || !mq_relay_link_has_unread (host->link));
}

/* Whether a loan request may be sent to HOST; a request that timed out starts
   the backoff.  */
static bool
may_lend (struct host *host, uint64_t now)
{
  if (has_timed_out (host))
    relay_mark_unreachable (host);
  return host->loan_after_ms <= now;
}

/* Sends FRAME to hosts with an open link if LINKED, else to those without.
   Returns SENT plus the number of requests sent.  */
static uint32_t
send_to_hosts (struct mq_relay *relay, struct mq_bytes frame, bool near,
               bool linked, uint32_t sent)
{
  uint64_t now = mq_clock_ms ();

  for (struct host *host = relay->hosts;
       host != NULL && sent < MQ_RELAY_LOAN_HOSTS_MAX; host = host->next)
    {
      struct mq_relay_link *link;

      if ((host->link != NULL) != linked || (near && !host->near)
          || !may_lend (host, now))
        continue;
      link = relay_open_link (relay, host);
      if (link == NULL)
        continue;
      start_timeout (relay, host);
      mq_relay_link_send (link, frame);
      sent++;
    }
  return sent;
}

static uint32_t
count_near (const struct mq_relay *relay)
{
  uint32_t count = 0;

  for (const struct host *host = relay->hosts; host != NULL; host = host->next)
    count += host->near ? 1U : 0U;
  return count;
}

uint32_t
mq_relay_request_loan (struct mq_relay *relay,
                       const struct mq_relay_loan_request *request, bool near)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_LOAN_REQUEST, .u.loan_request = *request };
  struct mq_bytes bytes;
  uint32_t sent;

  if (near && count_near (relay) > MQ_RELAY_LOAN_HOSTS_MAX)
    return 0;
  bytes = mq_relay_frame_pack (relay, &frame);
  sent = send_to_hosts (relay, bytes, near, true, 0);
  sent = send_to_hosts (relay, bytes, near, false, sent);
  talloc_free (bytes.data);
  return sent;
}

void
mq_relay_send_loan_reply (struct mq_relay *relay, struct mq_relay_link *link,
                          const struct mq_relay_loan_reply *reply)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_LOAN_REPLY, .u.loan_reply = *reply };

  relay_send_frame (relay, link, &frame);
}

bool
mq_relay_return_loan (struct mq_relay *relay, const char *address,
                      const struct mq_relay_loan_return *returned)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_LOAN_RETURN, .u.loan_return = *returned };
  struct host *host = relay_find_host (relay, address);

  if (host == NULL || host->link == NULL)
    return false;
  relay_send_frame (relay, host->link, &frame);
  return true;
}
