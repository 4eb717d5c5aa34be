/* relay_state.h - state of a relay, shared by relay.c, relay_cache.c,
   relay_call.c, relay_loan.c, relay_lease.c, relay_evidence.c and
   relay_suspects.c only.

   Needs: relay.h, relay_link.h.  */

#ifndef MQ_RELAY_STATE_H
#define MQ_RELAY_STATE_H

#include "relay.h"
#include "relay_link.h"

/**
 * struct host - another routing host
 * @link: NULL if none is open
 * @call_after_ms: end of the backoff for relayed calls
 * @loan_after_ms: end of the backoff for loan requests
 * @loan_timer: timeout of an unanswered loan request, or NULL
 * @loan_late: a loan request has timed out
 * @seed: from the settings; kept even if not listed
 * @listed: in the latest list of hosts
 * @loan_serial: last loan request sent to it
 * @near: in the same data centre
 * @data_centre: hash of the name, 0 if unknown
 * @caches_programs: accepts handovers
 * @recalled: has answered mq_relay_recall_quota
 * @batch_after_ms: end of the backoff for batching writes
 * @asked_until_ms: it has asked for ended runs, and is told until then though
 *                  it is not listed yet; 0 if it has not asked
 */
struct host
{
  struct host *next;
  char *address;
  struct mq_relay_link *link;
  uint64_t call_after_ms;
  uint64_t loan_after_ms;
  struct mq_timer *loan_timer;
  bool loan_late;
  uint64_t loan_serial;
  bool seed;
  bool listed;
  bool near;
  uint64_t data_centre;
  bool caches_programs;
  bool recalled;
  uint64_t batch_after_ms;
  uint64_t asked_until_ms;
};

struct mq_relay
{
  struct tevent_context *ev;
  struct tevent_fd *event;
  struct mq_rows *rows;
  struct mq_relay_owner owner;
  mq_relay_write_handler *write;
  void *write_user;
  struct host *hosts;
  size_t accepted;
  struct mq_relay_call *calls;
  struct served_call *served_calls;
  char *own_address;
  uint64_t next_id;
  uint64_t loan_serial;
  uint64_t random;
  uint64_t calls_sent;
  uint64_t calls_served;
  int fd;
};

/* relay.c */

/* The host that LINK was opened to; NULL if the other side opened it.  */
struct host *relay_host_of_link (struct mq_relay *relay,
                                 const struct mq_relay_link *link);
struct host *relay_find_host (const struct mq_relay *relay,
                              const char *address);
/* Finds or adds the host at ADDRESS; NULL for this host itself, or if ADDRESS
   is empty.  */
struct host *relay_add_host (struct mq_relay *relay, const char *address);
/* Returns the link to HOST, opening it if necessary; NULL if that fails at
   once.  */
struct mq_relay_link *relay_open_link (struct mq_relay *relay,
                                       struct host *host);
/* Closes LINK, which has failed; replies due on it are dropped.  */
void relay_drop_link (struct mq_relay *relay, struct mq_relay_link *link);
/* HOST does not answer: starts the backoff for calls and loan requests.  */
void relay_mark_unreachable (struct host *host);
/* Whether HOST may get messages that nothing waits for.  One that is late with
   its replies has its link all the same.

   Failure: a host that is held up for a moment is not told what others saw,
   and goes on without it.  */
bool relay_may_reach (const struct host *host, uint64_t now_ms);
void relay_send_frame (struct mq_relay *relay, struct mq_relay_link *link,
                       const struct mq_relay_frame *frame);
/* Sends FRAME to HOST, which may be NULL; false if no link to it can be
   opened.  */
bool relay_send_to_host (struct mq_relay *relay, struct host *host,
                         const struct mq_relay_frame *frame);

/* relay_call.c */

/* Makes the call that another host requests, and replies on LINK.  */
void relay_serve_call (struct mq_relay *relay, struct mq_relay_link *link,
                       const struct mq_relay_call_request *request);
/* Handles the reply to a call, received on LINK.  */
void relay_on_call_reply (struct mq_relay *relay,
                          const struct mq_relay_link *link,
                          const struct mq_relay_call_reply *reply);
/* LINK has ended: drops the replies due on it, and retries the calls that were
   sent on it at another host.  */
void relay_calls_lose_link (struct mq_relay *relay,
                            const struct mq_relay_link *link);
/* Starts HOST's backoff for relayed calls.  */
void relay_start_call_backoff (struct host *host);
/* Chooses a host that is not in backoff: one with an open link if any, else at
   random.  */
struct host *relay_choose_host (struct mq_relay *relay);

/* relay_cache.c */

/* Data centres whose cache hosts are asked for one program.  */
#define RELAY_DATA_CENTRES_MAX 16U
/* The available cache host of PROGRAM in this data centre; NULL if it is this
   host or there is none.  */
struct host *relay_cache_host (const struct mq_relay *relay,
                               const char *program);
/* Stores the available cache hosts of PROGRAM in all data centres in FOUND and
   returns their number.  */
size_t relay_cache_hosts (const struct mq_relay *relay, const char *program,
                          struct host *found[RELAY_DATA_CENTRES_MAX]);

/* relay_loan.c */

/* No loan request to HOST is outstanding any more.  */
void relay_clear_loan_request (struct host *host);
/* Handles a reply to a loan request, received on LINK.  */
void relay_on_loan_reply (struct mq_relay *relay,
                          const struct mq_relay_link *link,
                          const struct mq_relay_loan_reply *reply);

#endif
