/* api_plan.h - a caller's HTTP request as requests for the front.

   Checks and bounds every part of it.  Knows no sockets: the HTTP request
   comes in as plain values.
   Needs: text.h, message.h, id.h, jansson.  */

#ifndef MQ_API_PLAN_H
#define MQ_API_PLAN_H

#include "core/message.h"
#include "core/text/text.h"

/* How the answer is given.  */
enum mq_api_response_format
{
  MQ_API_JSON,       /* one JSON answer when FINAL comes */
  MQ_API_STREAM,     /* server-sent events */
  MQ_API_ACCEPT,     /* 202 with the program's id once it is durable */
  MQ_API_CREATE,     /* 201 with the program's id once it is durable */
  MQ_API_CHAT,       /* OpenAI's chat.completion */
  MQ_API_CHAT_STREAM /* OpenAI's chat.completion.chunk events */
};

/**
 * struct mq_api_http_input - a caller's HTTP request
 * @method: "GET", "POST", …
 * @path: without the query
 * @body: zero-terminated
 * @len: its length
 * @organisation: by the caller's key
 * @key: Idempotency-Key; NULL when absent
 * @generated_key: used where the caller sent none; unique to this request
 * @traceparent: checked or generated
 * @accept: Accept header; NULL when absent
 * @program: Mimosa-Program header; NULL when absent
 * @service: Mimosa-Service header; NULL when absent
 * @after: query parameter; NULL when absent
 * @wait: query parameter; NULL when absent
 * @cancel: query parameter; NULL when absent
 * @timeout_ms: query parameter; NULL when absent
 */
struct mq_api_http_input
{
  const char *method;
  const char *path;
  const char *body;
  size_t len;
  const char *organisation;
  const char *key;
  const char *generated_key;
  const char *traceparent;
  const char *accept;
  const char *program;
  const char *service;
  const char *after;
  const char *wait;
  const char *cancel;
  const char *timeout_ms;
};

/**
 * struct mq_api_plan - what is asked of the front
 * @shape: how the answer is given
 * @first: the request
 * @has_second: @second follows once @first is durable
 * @second: a step of the program that @first creates
 * @wait_ms: when the caller's wait is given up
 */
struct mq_api_plan
{
  enum mq_api_response_format shape;
  struct mq_request_msg first;
  bool has_second;
  struct mq_request_msg second;
  uint32_t wait_ms;
};

/* Plan below CTX; NULL with the failure in ERROR.  */
struct mq_api_plan *mq_api_plan_create (TALLOC_CTX *ctx,
                                        const struct mq_text *text,
                                        const struct mq_api_http_input *ask,
                                        struct mq_error *error);
/* True for a well-formed W3C traceparent.  */
bool mq_api_traceparent_valid (const char *text);

#endif
