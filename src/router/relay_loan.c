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

/* Sends FRAME, the latest request, to HOST.  Returns false if the host can't
   be asked or was asked already.  */
static bool
send_to_host (struct mq_relay *relay, struct host *host, struct mq_bytes frame)
{
  struct mq_relay_link *link;

  if (host->loan_serial == relay->loan_serial
      || !may_lend (host, mq_clock_ms ()))
    return false;
  link = relay_open_link (relay, host);
  if (link == NULL)
    return false;
  host->loan_serial = relay->loan_serial;
  start_timeout (relay, host);
  mq_relay_link_send (link, frame);
  return true;
}

/* Sends FRAME to hosts with an open link if LINKED, else to those without.
   Returns SENT plus the number of requests sent.  */
static uint32_t
send_to_hosts (struct mq_relay *relay, struct mq_bytes frame, bool near,
               bool linked, uint32_t sent)
{
  for (struct host *host = relay->hosts;
       host != NULL && sent < MQ_RELAY_LOAN_HOSTS_MAX; host = host->next)
    {
      if ((host->link != NULL) != linked || (near && !host->near))
        continue;
      sent += send_to_host (relay, host, frame) ? 1U : 0U;
    }
  return sent;
}

/* A cache host that can't be asked enters its backoff, and another one takes
   its place.  */
static uint32_t
send_to_near_cache_host (struct mq_relay *relay, struct mq_bytes frame,
                         const char *program)
{
  struct host *host;

  if (program[0] == '\0')
    return 0;
  while ((host = relay_cache_host (relay, program)) != NULL)
    if (send_to_host (relay, host, frame))
      return 1;
  return 0;
}

static uint32_t
send_to_cache_hosts (struct mq_relay *relay, struct mq_bytes frame,
                     const char *program)
{
  struct host *hosts[RELAY_DATA_CENTRES_MAX];
  size_t count = relay_cache_hosts (relay, program, hosts);
  uint32_t sent = send_to_near_cache_host (relay, frame, program);

  for (size_t i = 0; i < count; i++)
    sent += send_to_host (relay, hosts[i], frame) ? 1U : 0U;
  return sent;
}

uint32_t
mq_relay_request_loan (struct mq_relay *relay,
                       const struct mq_relay_loan_request *request, bool near)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_LOAN_REQUEST, .u.loan_request = *request };
  struct mq_bytes bytes;
  uint32_t sent = 0;
  bool cached = mq_relay_uses_cache_hosts (relay);

  relay->loan_serial++;
  bytes = mq_relay_frame_pack (relay, &frame);
  if (cached && near)
    sent = send_to_near_cache_host (relay, bytes, request->program);
  else if (cached)
    sent = send_to_cache_hosts (relay, bytes, request->program);
  if (!cached || !near)
    {
      sent = send_to_hosts (relay, bytes, near, true, sent);
      sent = send_to_hosts (relay, bytes, near, false, sent);
    }
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
