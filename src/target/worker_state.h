/* worker_state.h - internal state of a worker's client; for src/target only.

   worker.c: lifecycle and cache polling.  worker_call.c: calls of programs.
   worker_control.c: all other requests.  worker_answer.c: response parsing.
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
 * struct mq_worker_call - one call in progress
 * @http: the POST; NULL once it has ended
 * @stream: parser of a model's response; NULL for plain services and tools
 * @cancelling: the result is set, waiting for the response to a cancel
 * @cancels: number of cancel requests sent
 * @cancel: the pending cancel request; NULL if none
 * @later: reports the result from the event loop; NULL if not scheduled
 * @end: the result
 */
struct mq_worker_call
{
  struct mq_worker *worker;
  struct mq_worker_call *next;
  char request_id[MQ_REQUEST_ID_MAX];
  struct mq_http_call *http;
  struct mq_worker_stream *stream;
  bool cancelling;
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

/* A request to the worker other than a call of a program.  */
struct mq_worker_control
{
  struct mq_worker *worker;
  struct mq_worker_control *next;
  enum mq_control_type type;
  struct mq_http_call *http;
  struct tevent_immediate *later;
  bool failed; /* could not be sent */
  union
  {
    struct mq_id program;        /* EVICT */
    uint64_t order;              /* ORDER */
    struct mq_worker_call *call; /* CANCEL; NULL if no call waits for it */
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
/* Whether the response is complete and its status 200.  */
bool mq_worker_response_ok (const struct mq_http_result *result);

/* Creates a request to the worker.  It frees itself when it ends.  */
struct mq_worker_control *mq_control_create (struct mq_worker *worker,
                                             enum mq_control_type type);
/* Sends a POST of BODY to PATH, or a GET if BODY is NULL.  Takes ownership of
   BODY.  */
void mq_control_send (struct mq_worker_control *control, const char *path,
                      json_t *body, uint32_t timeout_ms);
/* Completes CONTROL from the event loop without sending it.  */
void mq_control_complete_later (struct mq_worker_control *control,
                                bool failed);

/* Handles the response to a CANCEL.  */
void mq_call_on_cancel_response (struct mq_worker_control *control,
                                 const struct mq_http_result *result);

/* Handles the response to a POLL.  */
void mq_worker_on_cache_response (struct mq_worker_control *control,
                                  const struct mq_http_result *result);
/* Schedules the next read of the engine's cache in WAIT_MS.  */
void mq_worker_schedule_poll (struct mq_worker *worker, uint32_t wait_ms);
/* Reads the cache as soon as possible, unless a read is in progress.  */
void mq_worker_poll_now (struct mq_worker *worker);

#endif
