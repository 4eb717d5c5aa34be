/* worker_state.h - what the parts of a worker's client share; for src/target
   only.

   worker.c holds the client and its polls; worker_call.c the calls of
   programs; worker_control.c every other request; worker_answer.c reads what
   comes back.
   Needs: worker.h, worker_stream.h, jansson, tevent.  */

#ifndef MQ_WORKER_STATE_H
#define MQ_WORKER_STATE_H

#include "core/id.h"
#include "worker.h"
#include "worker_stream.h"
#include <jansson.h>
#include <tevent.h>

enum
{
  MQ_REQUEST_ID_MAX = MQ_ID_TEXT + 24 /* PROGRAM-CALL-ATTEMPT */
};

/**
 * struct mq_worker_call - one START under way
 * @http: its POST, NULL once that has ended
 * @stream: a model's answer, NULL for others
 * @settling: an end is known, the engine is asked what it made
 * @cancels: how often it was asked
 * @cancel: the question under way
 * @later: hands in the end outside of the caller's function call
 * @end: how it ended
 */
struct mq_worker_call
{
  struct mq_worker *worker;
  struct mq_worker_call *next;
  char request_id[MQ_REQUEST_ID_MAX];
  struct mq_http_call *http;
  struct mq_worker_stream *stream;
  bool settling;
  uint32_t cancels;
  struct mq_worker_control *cancel;
  struct tevent_immediate *later;
  struct mq_gate_done end;
};

enum mq_control_type
{
  MQ_CONTROL_EVICT,
  MQ_CONTROL_ORDER,
  MQ_CONTROL_CANCEL,
  MQ_CONTROL_POLL
};

/* A request to the worker that is no call of a program.  */
struct mq_worker_control
{
  struct mq_worker *worker;
  struct mq_worker_control *next;
  enum mq_control_type type;
  struct mq_http_call *http;
  struct tevent_immediate *later;
  bool failed; /* without having been sent */
  union
  {
    struct mq_id program;        /* EVICT */
    uint64_t order;              /* ORDER */
    struct mq_worker_call *call; /* CANCEL; NULL when nobody waits */
  } u;
};

enum mq_engine_state
{
  MQ_ENGINE_UNKNOWN,
  MQ_ENGINE_UP,
  MQ_ENGINE_DOWN
};

struct mq_worker
{
  struct tevent_context *ev;
  struct mq_http_client *client;
  struct mq_worker_options options;
  struct mq_worker_callbacks callbacks;
  struct mq_worker_call *calls;
  struct mq_worker_control *controls;
  enum mq_engine_state state;
  uint64_t boot;
  bool polling;
  struct tevent_timer *poll_timer;
  struct mq_worker_counters counters;
};

bool mq_worker_is_model (const struct mq_worker *worker);
/* The answer is whole and its status 200.  */
bool mq_worker_response_ok (const struct mq_http_result *result);

/* New request to the worker; it is freed when it has ended.  */
struct mq_worker_control *mq_control_create (struct mq_worker *worker,
                                             enum mq_control_type type);
/* Sends BODY, which it takes over, to PATH; a GET when BODY is NULL.  */
void mq_control_send (struct mq_worker_control *control, const char *path,
                      json_t *body, uint32_t timeout_ms);
/* Ends CONTROL outside of the caller's call, without asking the worker.  */
void mq_control_complete_later (struct mq_worker_control *control,
                                bool failed);

/* The answer to a CANCEL.  */
void mq_call_on_cancel_response (struct mq_worker_control *control,
                                 const struct mq_http_result *result);

/* The answer to a POLL.  */
void mq_worker_on_cache_response (struct mq_worker_control *control,
                                  const struct mq_http_result *result);
/* Reads the engine's cache again after WAIT_MS.  */
void mq_worker_schedule_poll (struct mq_worker *worker, uint32_t wait_ms);
/* The same at once, unless a read is under way.  */
void mq_worker_poll_now (struct mq_worker *worker);

#endif
