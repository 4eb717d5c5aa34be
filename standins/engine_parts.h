/* engine_parts.h - internal state of the stand-in engine server.

   Shared by engine_server.c (event loop, cache and load requests),
   engine_chat.c (completions) and engine_jobs.c (orders and transfers).
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
 * struct mq_engine_server - a stand-in engine
 * @tags: last tag assigned to a completion or job
 * @chats: active completions
 * @jobs: active orders and transfers
 * @records: request records for /standin/stats, by request id
 * @in_force: argument of the last completed order of each type
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

/* Virtual time: microseconds since the server was created.  */
uint64_t mq_engine_server_now (const struct mq_engine_server *server);
/* Advances the model to the current time and handles its events.  */
void mq_engine_server_advance (struct mq_engine_server *server);

/* Request and response helpers.  */

/* Parses the body as a JSON object; responds with 400 and returns NULL if it
   is not one.  */
json_t *mq_engine_read_body (struct mq_http_request *request);
const char *mq_engine_member_text (const json_t *json, const char *key);
uint32_t mq_engine_member_number (const json_t *json, const char *key,
                                  uint32_t fallback);
/* Sets PROGRAM to zero if JSON has no program; returns false if the id is
   malformed.  */
bool mq_engine_read_program (const json_t *json, struct mq_id *program);
/* Responds with 429 and Retry-After.  */
void mq_engine_reject_overloaded (struct mq_http_request *request,
                                  uint32_t seconds);
/* Closes the connection without calling the on_closed callback.  */
void mq_engine_abort_request (struct mq_http_request *request);

/* Completions (engine_chat.c).  */

void mq_engine_post_chat (struct mq_engine_server *server,
                          struct mq_http_request *request);
void mq_engine_post_cancel (struct mq_engine_server *server,
                            struct mq_http_request *request);
/* Handles TOKEN and DONE events.  */
void mq_engine_chat_event (struct mq_engine_server *server,
                           const struct mq_engine_event *event);
/* Sends the tokens generated since the last call.  */
void mq_engine_send_chats (struct mq_engine_server *server);
void mq_engine_break_chats (struct mq_engine_server *server);

/* Orders and transfers (engine_jobs.c).  */

void mq_engine_post_export (struct mq_engine_server *server,
                            struct mq_http_request *request);
void mq_engine_post_import (struct mq_engine_server *server,
                            struct mq_http_request *request);
void mq_engine_post_order (struct mq_engine_server *server,
                           struct mq_http_request *request);
/* Handles ORDERED, EXPORTED and IMPORTED events.  */
void mq_engine_job_event (struct mq_engine_server *server,
                          const struct mq_engine_event *event);
void mq_engine_break_jobs (struct mq_engine_server *server);
const char *mq_engine_order_name (enum mq_order_type order);

#endif
