/* relay_state.h - the hosts that a relay knows, shared by relay.c and
   relay_loan.c only.

   Needs: relay.h, relay_link.h.  */

#ifndef MQ_RELAY_STATE_H
#define MQ_RELAY_STATE_H

#include "relay.h"
#include "relay_link.h"

/**
 * struct host - a host that may be asked
 * @link: NULL: none is open
 * @call_after_ms: it is not asked to make a call before
 * @loan_after_ms: it is not asked for a loan before, since it did not answer;
 *                 a host that can't reach the table either may still lend
 * @loan_timer: runs while it has time to answer a question for a loan, NULL:
 *              it owes none, or is late
 * @loan_late: its time for an answer is over
 * @seed: known from the settings; stays when the list of hosts lacks it
 * @listed: the list that is being told has it
 * @near: it is in the same data centre
 * @recalled: it has answered mq_relay_recall_quota
 * @gather_after_ms: it is not asked to gather writes before
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
  bool seed;
  bool listed;
  bool near;
  bool recalled;
  uint64_t gather_after_ms;
};

struct mq_relay
{
  struct tevent_context *ev;
  struct tevent_fd *event;
  struct mq_rows *rows;
  struct mq_relay_owner owner;
  mq_relay_write *write;
  void *write_user;
  struct host *hosts;
  size_t accepted;
  struct mq_relay_call *calls;
  struct relayed_call *relayed_calls;
  char *own_address;
  uint64_t next_id;
  uint64_t random;
  uint64_t asked;
  uint64_t served;
  int fd;
};

/* relay.c */

/* The host that LINK was opened to; NULL: it came from the other side.  */
struct host *relay_host_of_link (struct mq_relay *relay,
                                 const struct mq_relay_link *link);
struct host *relay_find_host (const struct mq_relay *relay,
                              const char *address);
/* Link to HOST, opened if need be; NULL when that fails at once.  */
struct mq_relay_link *relay_open_link (struct mq_relay *relay,
                                       struct host *host);
/* HOST gives no answer: it is left alone for a while.  */
void relay_mark_unreachable (struct host *host);
void relay_send_frame (struct mq_relay *relay, struct mq_relay_link *link,
                       const struct mq_relay_frame *frame);

/* relay_loan.c */

/* HOST owes no answer to a question for a loan.  */
void relay_clear_loan_request (struct host *host);
/* What came over LINK for a question of ours.  */
void relay_on_loan_reply (struct mq_relay *relay,
                          const struct mq_relay_link *link,
                          const struct mq_relay_loan_reply *told);

#endif
