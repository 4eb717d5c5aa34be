/* api_answer.h - serialises events and errors to HTTP response bodies.

   Needs: message.h, jansson.  */

#ifndef MQ_API_ANSWER_H
#define MQ_API_ANSWER_H

#include "core/message.h"

/**
 * struct mq_api_refusal - an error response
 * @error: type and subject
 * @ran: whether the request took effect
 * @retry_after_ms: delay before a retry; 0 if not known
 * @program: the program concerned; zero if none
 */
struct mq_api_refusal
{
  struct mq_error error;
  enum mq_ran ran;
  uint32_t retry_after_ms;
  struct mq_id program;
};

/* All functions return a string owned by CTX.  */

/* A JSON object.  */
char *mq_api_refusal_json (TALLOC_CTX *ctx,
                           const struct mq_api_refusal *refusal);
/* One server-sent event.  */
char *mq_api_sse (TALLOC_CTX *ctx, const struct mq_event_msg *event,
                  struct mq_id program);
/* OpenAI's chat.completion from the body of a FINAL event; NULL if the body
   has no text and no tool calls.  CREATED is in seconds since the epoch.  */
char *mq_api_chat_json (TALLOC_CTX *ctx, const char *final, const char *model,
                        struct mq_id program, int64_t created);
/* The model's text in the body of a FINAL event; empty if there is none.  */
char *mq_api_chat_content (TALLOC_CTX *ctx, const char *final);
/* OpenAI's stream events, "data: …": one token, the end, and an error.  */
char *mq_api_chat_token (TALLOC_CTX *ctx, const char *text, const char *model,
                         struct mq_id program, int64_t created);
char *mq_api_chat_end (TALLOC_CTX *ctx, const char *final, const char *model,
                       struct mq_id program, int64_t created);
char *mq_api_chat_error (TALLOC_CTX *ctx,
                         const struct mq_api_refusal *refusal);
/* {"program":HEX,"status":STATUS}.  */
char *mq_api_program_json (TALLOC_CTX *ctx, struct mq_id program,
                           const char *status);

/* The member "service" of a response body; empty if there is none.  BODY may
   be NULL.  */
char *mq_api_answer_service (TALLOC_CTX *ctx, const char *body);

#endif
