/* load_answer.h - an entry host's answer to a request of mimosa-load.

   Needs: load_check.h, error.h, jansson.  */

#ifndef MQ_LOAD_RESPONSE_H
#define MQ_LOAD_RESPONSE_H

#include "core/error.h"
#include "load_check.h"

/**
 * struct mq_load_response - what came, read and checked
 * @error: NONE for a final answer
 * @ran: of a refusal
 * @violation: what is wrong with it
 * @program: as named in it, empty when it is not
 * @text: the answer, empty with an error
 * @resets: of the stream
 * @cut: the stream gave less than the whole answer before the final event
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

/* Reads BODY, which came with STATUS; STREAM: it is server-sent events if
   STATUS is 200.  MESSAGES: what the model must have seen.  Result below
   CTX.  */
struct mq_load_response *mq_load_response_parse (TALLOC_CTX *ctx, int status,
                                                 const char *body, bool stream,
                                                 uint32_t messages);

#endif
