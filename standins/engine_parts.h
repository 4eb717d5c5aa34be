/* engine_parts.h - what the files of the stand-in engine's server share.

   engine_server.c drives the model and answers what is read from it;
   engine_chat.c serves completions, engine_jobs.c orders and transfers.
   Needs: engine_server.h, engine_plan.h, faults.h, http_answer.h.  */

#ifndef MQ_ENGINE_PARTS_H
#define MQ_ENGINE_PARTS_H

#include "engine_plan.h"
#include "engine_server.h"
#include "faults.h"
#include "http_answer.h"

struct mq_engine_chat;
struct mq_engine_job;

/**
 * struct mq_engine_server - one engine
 * @tags: names given to completions and jobs in the model's events
 * @chats: completions under way
 * @jobs: orders and transfers under way
 * @records: what /standin/stats says of each request, by request id
 * @in_force: argument of the last order of each type
 */
struct mq_engine_server
{
  struct tevent_context *ev;
  struct mq_http_server *http;
  struct mq_engine *engine;
  struct mq_engine_params params;
  struct tevent_timer *timer;
  uint64_t origin_us;
  uint64_t boot;
  uint64_t tags;
  struct mq_engine_chat *chats;
  struct mq_engine_job *jobs;
  struct mq_faults *faults;
  json_t *records;
  char *in_force[MQ_ORDER_SET_ROLE + 1];
};

/* Virtual time: that of the monotonic clock since the start.  */
uint64_t mq_engine_server_now (const struct mq_engine_server *server);
/* Brings the model up to now and says what happened.  */
void mq_engine_server_advance (struct mq_engine_server *server);

/* Parts of requests and answers.  */

/* Object of the body; answers 400 and gives NULL where it is none.  */
json_t *mq_engine_read_body (struct mq_http_request *request);
const char *mq_engine_member_text (const json_t *json, const char *key);
uint32_t mq_engine_member_number (const json_t *json, const char *key,
                                  uint32_t otherwise);
/* Zero where JSON names no program; false where it names none rightly.  */
bool mq_engine_read_program (const json_t *json, struct mq_id *program);
/* 429 with Retry-After.  */
void mq_engine_reject_overloaded (struct mq_http_request *request,
                                  uint32_t seconds);
/* Closes the connection, of which nothing more is heard.  */
void mq_engine_abort_request (struct mq_http_request *request);

/* Completions (engine_chat.c).  */

void mq_engine_post_chat (struct mq_engine_server *server,
                          struct mq_http_request *request);
void mq_engine_post_cancel (struct mq_engine_server *server,
                            struct mq_http_request *request);
/* TOKEN and DONE of the model.  */
void mq_engine_chat_event (struct mq_engine_server *server,
                           const struct mq_engine_event *event);
/* Sends what was generated since the last time.  */
void mq_engine_send_chats (struct mq_engine_server *server);
void mq_engine_break_chats (struct mq_engine_server *server);

/* Orders and transfers (engine_jobs.c).  */

void mq_engine_post_export (struct mq_engine_server *server,
                            struct mq_http_request *request);
void mq_engine_post_import (struct mq_engine_server *server,
                            struct mq_http_request *request);
void mq_engine_post_order (struct mq_engine_server *server,
                           struct mq_http_request *request);
/* ORDERED, EXPORTED and IMPORTED of the model.  */
void mq_engine_job_event (struct mq_engine_server *server,
                          const struct mq_engine_event *event);
void mq_engine_break_jobs (struct mq_engine_server *server);
const char *mq_engine_order_name (enum mq_order_type order);

#endif
