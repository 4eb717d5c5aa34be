/* router_request.h - state and steps of one request, shared by
   router_request.c, router_admit.c, router_dispatch.c, router_identify.c,
   router_limit.c, router_pace.c, router_shares.c, router_speed.c,
   router_stream.c, router_suspect.c,
   router_version.c and router_work.c only.

   A request is freed when it is answered.  Functions that may answer it are
   void and the last use of the request by their caller, also of its turn;
   those that return bool have left the request alone if they return what is
   said there.  A caller that pipelines has its next request begun before such
   a function returns, often in the same memory.

   Needs: router_state.h, router_try.h.  */

#ifndef MQ_ROUTER_REQUEST_H
#define MQ_ROUTER_REQUEST_H

#include "router_state.h"
#include "core/router/work.h"
#include "router_try.h"

#define ATTEMPTED_WORKERS_MAX 8U
#define EVENT_ID_BYTES 64U

/**
 * struct mq_request - one request, from its arrival to the final response
 * @head: the caller's message head, valid until the caller is answered
 * @body: the caller's message body, likewise
 * @table: configuration the request was routed with; holds a reference
 * @service: name of the target service
 * @org: organisation of the caller's key, owned by @table; NULL if none
 * @program: stored id of the program; NULL if none
 * @turn_id: stored id of the turn
 * @previous: stored id of the turn this one continues; NULL if none
 * @resumes: stored id of the stream that the caller resumes; NULL if none
 * @begins_program: as far as this host knows, the program's first turn
 * @surely_begins: by the program's record, too
 * @config_waiter: pending query for the latest configuration; NULL if none
 * @service_load: load of the service when the program asked to begin, in
 *                thousandths of its capacity; 0 if unknown
 * @program_deadline_at_risk: refused because little of the program's time is
 *                            left
 * @retry_ms: delay after which the refused program may retry; 0 if not refused
 * @worker_load: load that the worker reported with the response, in
 *               thousandths of its slots; 0 if unknown
 * @worker_speed: time that requests take at the worker when it has responded,
 *                in thousandths of the usual; 0 if it has not
 * @pace_load: load as programs of the route bear it, when the program asked to
 *             begin
 * @organisation_part: part of its organisation's programs that was admitted
 *                     then, in thousandths
 * @home: engine assigned to the new program; 0 if the program is not new
 * @permit: pending permit request; NULL if none
 * @permitted: a permit was granted or none is needed
 * @before_turn: the permit is for a first turn that is not prepared yet
 * @permit_until_ms: such a permit must be used before, local monotonic clock;
 *                   0 if it was used
 * @need: what the program was expected to need when it asked to begin
 * @limit_retry_ms: delay to tell if the request is refused over the limit
 * @record_call: pending read of the program's record; NULL if none
 * @is_turn: the request is a turn of a program; @turn is valid
 * @work: identity over the attempts of the caller; zero until it is needed
 * @send_body: body sent to the worker
 * @expires_ms: deadline of the final response, local monotonic clock
 * @attempted: workers already tried
 * @sent: number of workers the request was sent to
 * @unreachable: number of workers that could not be reached
 * @may_have_run: an earlier attempt may have run the request
 * @worker: last chosen worker; MQ_WORKER_NONE if none
 * @try: pending attempt at @worker; NULL if none
 * @sent_ms: start of the last attempt, local monotonic clock
 * @run: identifies @worker and its start for suspects.h
 * @run_counted: suspects.h counts the pending attempt
 * @late_noted: the worker was recorded as late with the last attempt
 * @answer: response received from @worker so far
 * @response_begun: the response head was sent to the caller
 * @response_complete: the worker's stream is complete, its record is being
 *                     written
 * @completed_ms: time @response_complete was set
 * @last_event: id of the last event forwarded, or of the one the caller
 *              reported
 * @has_version: events of the stream were written at @version, so that only
 *               this version may continue it
 * @version: digest as in mq_fleet_worker_version; 0 if unknown.  Without
 *           @has_version: the only version that may begin the stream, 0 if any
 * @restricted: that version was chosen since the stream gets no row
 * @record_version: version in the program's record of a resumed stream, while
 *                  the service's row is read
 * @row_read: pending read of the stream's row; NULL if none
 * @row_write: write of the row that @held waits for; NULL if none
 * @held: events to forward once the row is written
 * @has_held_end: the attempt ended meanwhile, as @held_end
 * @tokens_sent: tokens forwarded to the caller
 * @output: data of the forwarded events, for the turn's record
 */
struct mq_request
{
  struct mq_router *router;
  struct mq_caller *caller;
  const struct mq_http_head *head;
  struct mq_request_fields fields;
  struct mq_bytes body;
  struct mq_route_table *table;
  const struct mq_path_route *route;
  const struct mq_route_service *service_info;
  const char *service;
  const struct mq_org *org;
  const char *program;
  const char *turn_id;
  const char *previous;
  const char *resumes;
  bool begins_program;
  bool surely_begins;
  struct mq_config_waiter *config_waiter;
  uint32_t service_load;
  bool program_deadline_at_risk;
  uint32_t retry_ms;
  uint32_t worker_load;
  uint32_t worker_speed;
  uint32_t pace_load;
  uint32_t organisation_part;
  uint64_t home;
  struct mq_permit *permit;
  bool permitted;
  bool before_turn;
  uint64_t permit_until_ms;
  struct mq_program_need need;
  uint32_t limit_retry_ms;
  struct mq_table_client_call *record_call;
  bool is_turn;
  struct mq_turn turn;
  struct mq_id work;
  struct mq_bytes send_body;
  uint64_t arrived_ms;
  uint64_t expires_ms;
  struct mq_timer *timer;
  uint32_t attempted[ATTEMPTED_WORKERS_MAX];
  size_t attempted_count;
  uint32_t sent;
  uint32_t unreachable;
  bool may_have_run;
  uint32_t worker;
  struct mq_try *try;
  uint64_t sent_ms;
  struct mq_suspects_end run;
  bool run_counted;
  bool late_noted;
  struct mq_response answer;
  bool response_begun;
  bool response_complete;
  uint64_t completed_ms;
  char last_event[EVENT_ID_BYTES];
  bool has_version;
  uint64_t version;
  bool restricted;
  uint64_t record_version;
  struct mq_table_client_call *row_read;
  struct mq_row_write *row_write;
  struct mq_buffer held;
  bool has_held_end;
  enum mq_attempt_end held_end;
  uint64_t tokens_sent;
  struct mq_buffer output;
};

/* router_request.c */

/* Cancels everything pending and frees the request.  The caller must have been
   answered or have disconnected.  */
void request_close (struct mq_request *request);
/* Closes the connection within a response that cannot be completed.  WHY is
   the outcome logged.  */
void request_abort (struct mq_request *request, const char *why);
void request_log_end (const struct mq_request *request,
                      enum mq_json_priority weight, const char *outcome,
                      int status);
/* Begins a log line with what identifies the request.  */
void request_begin_log_line (struct mq_json_line *line,
                             const struct mq_request *request,
                             enum mq_json_priority weight,
                             enum mq_log_event event);
/* Time remaining until the deadline.  */
uint64_t request_left_ms (const struct mq_request *request);
/* Id of the last chosen worker.  */
const char *request_worker_id (const struct mq_request *request);
/* Its software version; NULL if unknown.  */
const char *request_worker_version (const struct mq_request *request);
/* Sends the response for REFUSAL and closes the request.  */
void request_refuse (struct mq_request *request, enum mq_refusal refusal);
/* Likewise, with RETRY_MS in Retry-After; 0 keeps the delay of the
   refusal.  */
void request_refuse_until (struct mq_request *request, enum mq_refusal refusal,
                           uint32_t retry_ms);
/* Loads the history, reserves the budget, then dispatches the turn.  */
void request_prepare_turn (struct mq_request *request);

/* router_identify.c */

/* Whether the request is its program's first turn, judging by the request and
   the programs this host serves.  */
bool request_begins_program (const struct mq_request *request);

enum request_identity
{
  REQUEST_IDENTIFIED,   /* or the route needs no key */
  REQUEST_KEY_UNKNOWN,  /* no organisation has the key */
  REQUEST_KEY_AMBIGUOUS /* several keys were sent */
};

/* Sets the organisation and the stored ids according to TABLE.  */
enum request_identity request_identify (struct mq_request *request,
                                        const struct mq_route_table *table,
                                        const struct mq_path_route *route);
/* The configuration was confirmed recently enough to refuse the caller's key
   without another query.  */
bool request_key_lookup_is_fresh (const struct mq_request *request);
/* Whether the caller's key still belongs to the organisation in the active
   configuration.

   Failure: a request that waits or is retried would run after its key was
   revoked.  */
bool request_key_is_still_valid (const struct mq_request *request);
/* Priority of the organisation, or of the route if the organisation has
   none.  */
uint32_t request_priority (const struct mq_request *request);

/* router_limit.c */

/* Appends why the request was refused over the limit, if it was.  */
void request_log_limit (const struct mq_request *request,
                        struct mq_json_line *line);
/* Obtains a permit, then calls request_dispatch; may answer the request.  */
void request_acquire_permit (struct mq_request *request);
/* Obtains the permit of a program's first turn, then calls
   request_begin_program.  */
void request_acquire_first_permit (struct mq_request *request);
/* Whether the request has its permit, which it uses now.  One of a first turn
   whose preparation took long is dropped.  */
bool request_has_permit (struct mq_request *request);
/* Refuses the request if its organisation is known to be over its limit, and
   its program has not begun elsewhere; returns false if it is not known to be.
   Called before the turn is prepared.  */
bool request_refuse_over_limit (struct mq_request *request);

/* router_dispatch.c */

/* Sends the request to the best worker not tried yet, or answers it.  */
void request_dispatch (struct mq_request *request);
void request_count_served (const struct mq_request *request);
/* The attempt at a worker has ended.  */
void request_on_try_ended (enum mq_attempt_end end, void *request);

/* router_admit.c */

/* Prepares the turn, unless it would begin a program that admission control
   refuses.  */
void request_admit_turn (struct mq_request *request);
/* Prepares the first turn of a program that was admitted.  */
void request_begin_program (struct mq_request *request);

/* router_suspect.c */

/* Whether workers ended under the request.  */
bool request_is_rejected (struct mq_request *request);
/* Refuses the request if it may be sent to no worker now, because of those
   that ended under it; returns false if it may.  */
bool request_refuse_suspect (struct mq_request *request);
/* Stores the workers, at most MAX, that the request is kept from because
   others like it run there; returns their number.  */
size_t request_list_occupied (struct mq_request *request, uint32_t *workers,
                              size_t max);
/* The attempt at the chosen worker begins, and has ended.  */
void request_run_begun (struct mq_request *request);
void request_run_ended (struct mq_request *request, enum mq_attempt_end end);
/* The attempt was given up.  */
void request_run_cancelled (struct mq_request *request);

/* router_work.c */

/* Identity of the request over the attempts of its caller.  */
struct mq_id request_work_id (struct mq_request *request);
/* Adds that identity and how the last attempt ended.  */
void request_log_work (struct mq_request *request, struct mq_json_line *line);

/* router_pace.c */

/* Notes the load that the worker reported.  Valid only during an attempt,
   since the worker may be freed afterwards.  */
void request_note_worker_load (struct mq_request *request);
/* Learns from the complete turn.  */
void request_record_pace (const struct mq_request *request);
/* Adds what admission control knows of the request's route.  */
void request_log_pace (const struct mq_request *request,
                       struct mq_json_line *line);
/* Load of the service as programs of the request's route bear it.  */
uint32_t request_pace_load (const struct mq_request *request, uint64_t now);

/* router_shares.c */

/* Counts the program, which asks to begin.  Returns the demand of its service
   for admission control; NULL if it has no organisation.  */
const struct mq_shares *
request_record_demand (const struct mq_request *request, uint64_t now);
void request_record_refused_program (const struct mq_request *request);
/* Adds the demand of the organisation of the refused program, and the part of
   it that is admitted.  */
void request_log_shares (const struct mq_request *request,
                         struct mq_json_line *line);

/* router_speed.c */

/* Records what the complete response tells of the worker's speed.  */
void request_note_speed (void *request);

/* router_stream.c */

/* Forwards the complete events received so far.  */
void request_forward_events (void *request);
/* The worker's stream is complete.  Ends the response, after the turn's record
   is stored if the route retains turns.  */
void request_end_stream (struct mq_request *request);
/* Ends the response.  */
void request_finish_stream (struct mq_request *request);
/* The row that the first events waited for is durable if STORED; else they
   are not forwarded.  */
void request_on_row_written (struct mq_request *request, bool stored);

/* router_version.c */

/* Determines the version that may serve the request.  Returns false if the
   request was refused, or if request_dispatch follows once the version is
   known.  */
bool request_resolve_version (struct mq_request *request);
/* The first events of the stream have arrived.  If @row_write is set then,
   they wait for request_on_row_written.  */
void request_note_version (struct mq_request *request);
/* Version for the record of the request's program if it has none yet.  */
uint64_t request_first_version (const struct mq_request *request);
void request_cancel_row_calls (struct mq_request *request);

#endif
