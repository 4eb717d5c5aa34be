/* engine_plan.h - prompts and scripted answers of the stand-in model.

   Converts the messages of a chat completion to the prompt text, and the plan
   in the last user message to the answer (docs/CONTRACTS.md, "What a stand-in
   model does").  Deterministic: equal messages give equal answers.
   Needs: jansson, xxhash, error.h.  */

#ifndef MQ_ENGINE_PLAN_H
#define MQ_ENGINE_PLAN_H

#include "core/error.h"
#include <jansson.h>

#define MQ_PLAN_TOKEN_BYTES 4U      /* bytes of text per token */
#define MQ_PLAN_DEFAULT_TOKENS 24U  /* length of an answer without a plan */
#define MQ_PLAN_TOKENS_MAX 1000000U /* limit for the tokens of a step */

/**
 * struct mq_plan_prompt - prompt built from the messages
 * @text: all messages and the header of the answer; together with the answer,
 *        a prefix of the program's next prompt
 * @tokens: length of @text, which is padded to whole tokens
 * @shared_tokens: tokens of the leading system messages
 * @messages: number of messages
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
  MQ_PLAN_LENGTH, /* truncated at max_tokens */
  MQ_PLAN_CALL
};

/**
 * struct mq_plan_answer - answer of the model to a prompt
 * @text: content, @tokens times MQ_PLAN_TOKEN_BYTES bytes
 * @tokens: number of generated tokens
 * @call_id: MQ_PLAN_CALL: call id, unique in the program
 * @call_name: MQ_PLAN_CALL: name of the called service
 * @call_arguments: MQ_PLAN_CALL: JSON text
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

/* Builds the prompt.  Returns false with BAD_JSON if MESSAGES is not an array
   of messages.  */
bool mq_plan_read (TALLOC_CTX *ctx, const json_t *messages,
                   struct mq_plan_prompt *prompt, struct mq_error *error);
/* MAX_TOKENS: 0 for no limit.  MESSAGES: as passed to mq_plan_read.  */
void mq_plan_answer (TALLOC_CTX *ctx, const json_t *messages,
                     const struct mq_plan_prompt *prompt, uint32_t max_tokens,
                     struct mq_plan_answer *answer);
/* The "[seen M DIGEST]" suffix of the answer to PROMPT.  */
char *mq_plan_digest_text (TALLOC_CTX *ctx,
                           const struct mq_plan_prompt *prompt);
const char *mq_plan_finish_name (enum mq_plan_finish finish);

#endif
