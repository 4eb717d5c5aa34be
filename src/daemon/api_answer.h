/* api_answer.h - events of an answer as the texts that callers read.

   Needs: message.h, jansson.  */

#ifndef MQ_API_ANSWER_H
#define MQ_API_ANSWER_H

#include "core/message.h"

/**
 * struct mq_api_refusal - a typed refusal as callers see it
 * @error: type and subject
 * @ran: whether what was asked took effect
 * @retry_after_ms: when to come back, 0 when not said
 * @program: program that it concerns, zero when none
 */
struct mq_api_refusal
{
  struct mq_error error;
  enum mq_ran ran;
  uint32_t retry_after_ms;
  struct mq_id program;
};

/* JSON object below CTX.  */
char *mq_api_refusal_json (TALLOC_CTX *ctx,
                           const struct mq_api_refusal *refusal);
/* One server-sent event below CTX.  */
char *mq_api_sse (TALLOC_CTX *ctx, const struct mq_event_msg *event,
                  struct mq_id program);
/* OpenAI's answer from the body of a FINAL event; NULL when it has none of
   the shape.  CREATED is in seconds since 1970.  */
char *mq_api_chat_json (TALLOC_CTX *ctx, const char *final, const char *model,
                        struct mq_id program, int64_t created);
/* The model's text in the body of a FINAL event, empty when it has none.  */
char *mq_api_chat_content (TALLOC_CTX *ctx, const char *final);
/* OpenAI's stream: "data: …" of one token, of the end, of a broken one.  */
char *mq_api_chat_token (TALLOC_CTX *ctx, const char *text, const char *model,
                         struct mq_id program, int64_t created);
char *mq_api_chat_end (TALLOC_CTX *ctx, const char *final, const char *model,
                       struct mq_id program, int64_t created);
char *mq_api_chat_error (TALLOC_CTX *ctx,
                         const struct mq_api_refusal *refusal);
/* {"program":HEX,"status":STATUS} below CTX.  */
char *mq_api_program_json (TALLOC_CTX *ctx, struct mq_id program,
                           const char *status);

/* Member "service" of an answer's JSON below CTX; empty when there is none.
   BODY may be NULL.  */
char *mq_api_answer_service (TALLOC_CTX *ctx, const char *body);

#endif
