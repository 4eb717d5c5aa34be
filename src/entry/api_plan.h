/* api_plan.h - translates a caller's HTTP request into requests to the front.

   Validates every part of the request.  Does no I/O: the HTTP request is
   passed as plain values.
   Needs: text.h, message.h, id.h, jansson.  */

#ifndef MQ_API_PLAN_H
#define MQ_API_PLAN_H

#include "core/message.h"
#include "core/text/text.h"

/* Format of the HTTP response.  */
enum mq_api_response_format
{
  MQ_API_JSON,       /* one JSON body, sent on the FINAL event */
  MQ_API_STREAM,     /* server-sent events */
  MQ_API_ACCEPT,     /* 202 with the program's id, once durable */
  MQ_API_CREATE,     /* 201 with the program's id, once durable */
  MQ_API_CHAT,       /* OpenAI's chat.completion */
  MQ_API_CHAT_STREAM /* OpenAI's chat.completion.chunk events */
};

/**
 * struct mq_api_http_input - a caller's HTTP request
 * @method: "GET", "POST", …
 * @path: without the query string
 * @body: NUL-terminated
 * @len: length of @body in bytes, without the NUL
 * @organisation: the organisation that the caller's API key belongs to
 * @key: Idempotency-Key header; NULL if absent
 * @generated_key: idempotency key to use if @key is NULL; unique per request
 * @traceparent: valid W3C traceparent, received or generated
 * @accept: Accept header; NULL if absent
 * @program: Mimosa-Program header; NULL if absent
 * @service: Mimosa-Service header; NULL if absent
 * @after: query parameter; NULL if absent
 * @wait: query parameter; NULL if absent
 * @cancel: query parameter; NULL if absent
 * @timeout_ms: query parameter; NULL if absent
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
 * struct mq_api_plan - requests to send to the front
 * @has_second: send @second once @first is durable
 * @second: a step of the program that @first creates
 * @wait_ms: timeout of the HTTP request
 */
struct mq_api_plan
{
  enum mq_api_response_format format;
  struct mq_request_msg first;
  bool has_second;
  struct mq_request_msg second;
  uint32_t wait_ms;
};

/* Returns a plan owned by CTX, or NULL with ERROR set.  */
struct mq_api_plan *
mq_api_plan_create (TALLOC_CTX *ctx, const struct mq_text *text,
                    const struct mq_api_http_input *http_input,
                    struct mq_error *error);
/* Whether TEXT is a well-formed W3C traceparent.  */
bool mq_api_traceparent_valid (const char *text);

#endif
