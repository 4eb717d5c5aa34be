/* engine_plan.h - what the stand-in model reads and says.

   Turns the messages of a chat completion into the prompt's text, and the
   plan in the last user message into the answer (docs/CONTRACTS.md, "What a
   stand-in model does").  Pure: the same messages give the same answer.
   Needs: jansson, xxhash, error.h.  */

#ifndef MQ_ENGINE_PLAN_H
#define MQ_ENGINE_PLAN_H

#include "core/error.h"
#include <jansson.h>

#define MQ_PLAN_TOKEN_BYTES 4U      /* a token of text */
#define MQ_PLAN_DEFAULT_TOKENS 24U  /* an answer without a plan */
#define MQ_PLAN_TOKENS_MAX 1000000U /* most tokens that a step may name */

/**
 * struct mq_plan_prompt - the messages as the model reads them
 * @text: each message in turn and the header of the answer to come; the
 *        prompt of a program's next call begins with it and the answer
 * @tokens: length of @text in tokens; @text holds whole tokens only
 * @shared_tokens: tokens of the leading system messages
 * @messages: how many messages
 * @digest: xxHash64 of the messages' text
 */
struct mq_plan_prompt
{
  char *text;
  uint32_t tokens;
  uint32_t shared_tokens;
  uint32_t messages;
  uint64_t digest;
};

enum mq_plan_finish
{
  MQ_PLAN_STOP,
  MQ_PLAN_LENGTH, /* cut at max_tokens */
  MQ_PLAN_CALL
};

/**
 * struct mq_plan_answer - what the model says to a prompt
 * @text: its content, @tokens times MQ_PLAN_TOKEN_BYTES bytes
 * @tokens: how many tokens it generates
 * @finish: why it ends
 * @call_id: with MQ_PLAN_CALL, id of the call, unique in the program
 * @call_name: what it calls
 * @call_arguments: JSON text
 */
struct mq_plan_answer
{
  char *text;
  uint32_t tokens;
  enum mq_plan_finish finish;
  char *call_id;
  char *call_name;
  char *call_arguments;
};

/* False with BAD_JSON where MESSAGES is no array of messages.  */
bool mq_plan_read (TALLOC_CTX *ctx, const json_t *messages,
                   struct mq_plan_prompt *prompt, struct mq_error *error);
/* MAX_TOKENS 0: no cap.  MESSAGES as given to mq_plan_read.  */
void mq_plan_answer (TALLOC_CTX *ctx, const json_t *messages,
                     const struct mq_plan_prompt *prompt, uint32_t max_tokens,
                     struct mq_plan_answer *answer);
/* The "[seen M DIGEST]" that ends the answer to PROMPT.  */
char *mq_plan_digest_text (TALLOC_CTX *ctx,
                           const struct mq_plan_prompt *prompt);
const char *mq_plan_finish_name (enum mq_plan_finish finish);

#endif
