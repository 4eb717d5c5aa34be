/* relay_loan.c - questions to many hosts at a time: who lends tokens or a
   history.

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

/* Failure: a host was held up for longer than it may take for an answer, then
   answered, and was left alone for the rest of the pause; turns whose history
   lies there were refused at once.  An answer shows that it is there, so it
   is asked again.  It still makes no calls: those wait longer for it.  */
void
relay_on_loan_reply (struct mq_relay *relay, const struct mq_relay_link *link,
                     const struct mq_relay_loan_reply *told)
{
  struct host *host = relay_host_of_link (relay, link);

  if (host == NULL)
    return;
  relay_clear_loan_request (host);
  host->loan_after_ms = 0;
  relay->owner.loan_reply (told, host->address, relay->owner.user);
}

static void
on_loan_late (void *data)
{
  struct host *host = data;

  host->loan_timer = NULL;
  host->loan_late = true;
}

/* Failure: this host was held up itself, and an answer that had come in time
   lay unread when the next question was asked; by the clock alone the other
   host looked silent.  So its time is over when a timer says so: late timers
   come after what has arrived.  */
static void
expect_answer (struct mq_relay *relay, struct host *host)
{
  if (host->loan_timer == NULL)
    host->loan_timer = mq_timer_add (host, relay->ev, MQ_RELAY_LOAN_TIMEOUT_MS,
                                     on_loan_late, host);
}

/* A host whose answer, or whose link, has arrived but was not looked at is
   judged the next time: more arrives while this host works off what has.  */
static bool
owes_answer (const struct host *host)
{
  return host->loan_late
         && (host->link == NULL || !mq_relay_link_has_unread (host->link));
}

/* Whether HOST may be asked for a loan; one that owes an answer is left alone
   for a while.  */
static bool
may_lend (struct host *host, uint64_t now)
{
  if (owes_answer (host))
    relay_mark_unreachable (host);
  return host->loan_after_ms <= now;
}

/* One round over the hosts with an open link, or over those without.  */
static uint32_t
ask_hosts (struct mq_relay *relay, struct mq_bytes frame, bool near,
           bool linked, uint32_t asked)
{
  uint64_t now = mq_clock_ms ();

  for (struct host *host = relay->hosts;
       host != NULL && asked < MQ_RELAY_LOAN_HOSTS_MAX; host = host->next)
    {
      struct mq_relay_link *link;

      if ((host->link != NULL) != linked || (near && !host->near)
          || !may_lend (host, now))
        continue;
      link = relay_open_link (relay, host);
      if (link == NULL)
        continue;
      expect_answer (relay, host);
      mq_relay_link_send (link, frame);
      asked++;
    }
  return asked;
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
                       const struct mq_relay_loan_request *ask, bool near)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_LOAN_REQUEST, .u.loan_request = *ask };
  struct mq_bytes bytes;
  uint32_t asked;

  if (near && count_near (relay) > MQ_RELAY_LOAN_HOSTS_MAX)
    return 0;
  bytes = mq_relay_frame_pack (relay, &frame);
  asked = ask_hosts (relay, bytes, near, true, 0);
  asked = ask_hosts (relay, bytes, near, false, asked);
  talloc_free (bytes.data);
  return asked;
}

void
mq_relay_send_loan_reply (struct mq_relay *relay, struct mq_relay_link *link,
                          const struct mq_relay_loan_reply *told)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_LOAN_REPLY, .u.loan_reply = *told };

  relay_send_frame (relay, link, &frame);
}

bool
mq_relay_return_loan (struct mq_relay *relay, const char *address,
                      const struct mq_relay_loan_return *back)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_LOAN_RETURN, .u.loan_return = *back };
  struct host *host = relay_find_host (relay, address);

  if (host == NULL || host->link == NULL)
    return false;
  relay_send_frame (relay, host->link, &frame);
  return true;
}
