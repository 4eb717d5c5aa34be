/* load_response.h - parses and checks an entry host's response.

   Needs: load_check.h, error.h, jansson.  */

#ifndef MQ_LOAD_RESPONSE_H
#define MQ_LOAD_RESPONSE_H

#include "core/error.h"
#include "load_check.h"

/**
 * struct mq_load_response - a parsed response
 * @error: MQ_ERR_NONE for a final answer
 * @ran: whether a refused request ran
 * @violation: first check that failed
 * @program: program id in the response; empty if missing
 * @text: the answer; empty with an error
 * @resets: number of resets in the stream
 * @cut: the stream did not carry the complete answer before its final event
 */
struct mq_load_response
{
  enum mq_error_type error;
  enum mq_ran ran;
  enum mq_load_violation violation;
  char *program;
  char *text;
  uint32_t resets;
  bool cut;
};

/* Parses BODY, which arrived with HTTP status STATUS.  With STREAM and status
   200 it contains server-sent events.  MESSAGES is the number of messages that
   the model must have received.  The result is a child of CTX.  */
struct mq_load_response *mq_load_response_parse (TALLOC_CTX *ctx, int status,
                                                 const char *body, bool stream,
                                                 uint32_t messages);

#endif
