/* router_answer.h - takes in a worker's answer, as a whole or as events.

   Needs: router_wire.h, event_stream.h, attempt.h, buffer.h.  */

#ifndef MQ_ROUTER_ANSWER_H
#define MQ_ROUTER_ANSWER_H

#include "core/router/attempt.h"
#include "core/router/event_stream.h"
#include "core/router/fleet.h"
#include "net/buffer.h"
#include "router_wire.h"

/**
 * struct mq_answer - what is known of a worker's answer
 * @status: its status, 0: none yet
 * @not_run: it states that the request was not run
 * @other_worker: another worker has the address
 * @stream: events, passed on as they come
 * @idle_s: how long the worker keeps the connection
 * @fields: lines of its fields that are passed on
 * @body: of an answer that is passed on as a whole
 * @events: cuts a stream into events, NULL: none has come yet
 */
struct mq_answer
{
  int status;
  bool not_run;
  bool other_worker;
  bool stream;
  uint32_t idle_s;
  struct mq_buffer fields;
  struct mq_buffer body;
  struct mq_event_stream *events;
};

/* The head has come; STREAM: the route's answers are streams.  */
void mq_answer_add_head (TALLOC_CTX *ctx, struct mq_answer *answer,
                         const struct mq_http_head *head,
                         const struct mq_response_fields *facts, bool stream);
/* Some of the body; false when it is longer than can be held, or damaged.  */
bool mq_answer_add_body (TALLOC_CTX *ctx, struct mq_answer *answer,
                         const char *data, size_t len);
/* Next whole event of a stream; false when there is none yet.  */
bool mq_answer_next_event (struct mq_answer *answer, struct mq_event *event);
/* It ends within an event.  */
bool mq_answer_is_truncated (const struct mq_answer *answer);
/* What the answer, at its end, tells of the worker.  */
enum mq_fleet_outcome mq_answer_outcome (const struct mq_answer *answer);
/* Answers of STATUS have no body.  */
bool mq_answer_has_no_body (int status);
/* Forgets all of it: another worker is asked.  */
void mq_answer_reset (struct mq_answer *answer);

#endif
