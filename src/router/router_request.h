/* router_request.h - one request, shared by router_request.c, router_admit.c,
   router_identify.c and router_stream.c only.

   Needs: router_state.h, router_try.h.  */

#ifndef MQ_ROUTER_REQUEST_H
#define MQ_ROUTER_REQUEST_H

#include "router_state.h"
#include "router_try.h"

#define TRIED_MAX 8U
#define EVENT_ID_MAX 64U

/**
 * struct mq_request - one request
 * @body: what the caller sent
 * @table: configuration that the request goes by
 * @service: where it goes
 * @org: whose request it is, part of @table; NULL: nobody's
 * @program: id of its program as it is kept; NULL: none
 * @turn_id: id of its turn as it is kept
 * @previous: the turn that it continues from, likewise; NULL: none
 * @begins_program: it is a program's first turn, as far as this host can tell
 * @confirm: question whether the configuration is the newest, NULL: none
 * @service_load: what the workers had when its program was to begin, in
 *                thousandths of what they can do in time, 0: not known
 * @program_late: its program has lost much of its time
 * @retry_ms: when its program may be worth to come back, 0: not refused
 * @home: where its program, which begins, is to stay; 0: it does not begin
 * @permit: it waits for one of its organisation's, NULL: not
 * @permitted: it has one, or needs none
 * @record_call: asks whether its program has begun, NULL: not under way
 * @is_turn: it is a turn of a program, see @turn
 * @send_body: what the worker gets
 * @give_up_ms: its final answer goes out then at the latest
 * @tried: workers that are not asked again
 * @sent: workers that it was sent to
 * @ran: an earlier try may have run
 * @worker: the last one, @try: the request there, NULL: it is over
 * @sent_ms: when it was sent there
 * @answer: what has come from there
 * @begun: the caller has got the beginning of an answer
 * @ended: the worker's stream is whole, its record is being written
 * @ended_ms: since when
 * @last_event: last event passed on, or that the caller told
 * @handed: tokens that the caller got
 * @output: data of the events, for the turn's record
 */
struct mq_request
{
  struct mq_router *router;
  struct mq_caller *caller;
  const struct mq_http_head *head;
  struct mq_call_facts facts;
  struct mq_bytes body;
  struct mq_route_table *table;
  const struct mq_path_route *route;
  const struct mq_route_service *service_info;
  const char *service;
  const struct mq_org *org;
  const char *program;
  const char *turn_id;
  const char *previous;
  bool begins_program;
  struct mq_confirm *confirm;
  uint32_t service_load;
  bool program_late;
  uint32_t retry_ms;
  uint64_t home;
  struct mq_permit *permit;
  bool permitted;
  struct mq_ledger_call *record_call;
  bool is_turn;
  struct mq_turn turn;
  struct mq_bytes send_body;
  uint64_t arrived_ms;
  uint64_t give_up_ms;
  struct mq_timer *timer;
  uint32_t tried[TRIED_MAX];
  size_t tried_count;
  uint32_t sent;
  uint32_t unreachable;
  bool ran;
  uint32_t worker;
  struct mq_try *try;
  uint64_t sent_ms;
  struct mq_answer answer;
  bool begun;
  bool ended;
  uint64_t ended_ms;
  char last_event[EVENT_ID_MAX];
  uint64_t handed;
  struct mq_buffer output;
};

/* router_request.c */

/* Frees the request; its caller has been answered or is gone.  */
void request_close (struct mq_request *request);
/* An answer that has begun can't be completed.  */
void request_break_off (struct mq_request *request, const char *why);
void request_log_end (const struct mq_request *request,
                      enum mq_json_priority weight, const char *outcome,
                      int status);
/* A final answer of our own.  */
void request_refuse (struct mq_request *request, enum mq_refusal refusal);
/* A final answer of our own that says when to come back.  */
void request_refuse_until (struct mq_request *request, enum mq_refusal refusal,
                           uint32_t retry_ms);
/* Finds the turn's history and its budget, then sends it.  */
void request_begin_turn (struct mq_request *request);
void request_note_served (const struct mq_request *request);

/* router_identify.c */

/* As far as the request itself and this host's memory tell.  */
bool request_begins_program (const struct mq_request *request);

enum request_identity
{
  REQUEST_IDENTIFIED,       /* or no key is asked for */
  REQUEST_UNIDENTIFIED,     /* no organisation has the key */
  REQUEST_DOUBLY_IDENTIFIED /* there are two keys */
};

/* Finds whose request it is by TABLE, and its ids.  */
enum request_identity request_identify (struct mq_request *request,
                                        const struct mq_route_table *table,
                                        const struct mq_path_route *route);
/* Nothing is gained by asking for a newer configuration for its key.  */
bool request_key_is_unknown (const struct mq_request *request);
/* Its key has not been taken away since the request came.

   Failure: a request waits, or is tried again, while its key is taken away,
   and a worker runs it long after that.  */
bool request_keeps_key (const struct mq_request *request);
/* That of its organisation goes before its route's.  */
uint32_t request_priority (const struct mq_request *request);

/* router_limit.c */

/* Gets a permit for the request, then sends it (request_send).  */
void request_limit (struct mq_request *request);
/* Its organisation is over its limit, as far as this host knows: refuses it.
   What waits for the table need not then.  */
bool request_is_over (struct mq_request *request);

/* router_request.c */

/* Sends the request to the best worker that it was not sent to yet.  */
void request_send (struct mq_request *request);

/* router_admit.c */

/* Begins the turn, unless it would begin a program that is refused.  */
void request_admit_turn (struct mq_request *request);

/* router_stream.c */

/* Passes on the whole events that have come.  */
void request_pass_events (void *request);
/* The worker's stream is whole; the answer ends, at once or with the turn's
   record.  */
void request_end_stream (struct mq_request *request);
/* The answer ends now.  */
void request_finish_stream (struct mq_request *request);

#endif
