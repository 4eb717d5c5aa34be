/* program.h - one program: its history, budget and next step.

   State changes only by applying records of the partition log, so that a
   replay of the log gives the same program.  What is not logged (attempts
   under way, callers that wait) lives in the owner.
   Needs: text.h, types.h, jansson, proto/log.pb-c.h.  */

#ifndef MQ_PROGRAM_H
#define MQ_PROGRAM_H

#include "../../../proto/log.pb-c.h"
#include "../text/text.h"

enum mq_program_mode
{
  MQ_MODE_CHAIN, /* the system drives it */
  MQ_MODE_STEPS, /* its caller drives it */
  MQ_MODE_SINGLE /* one call of a model, plain service or tool */
};

enum mq_program_state
{
  MQ_PROGRAM_RUNNING,
  MQ_PROGRAM_WAITING, /* for a person's next turn, or its caller's call */
  MQ_PROGRAM_ENDED
};

/* A tool call that the model's last answer asks for.  */
struct mq_tool_call
{
  const char *id;
  const char *name;
  const char *arguments;
};

/* One call of a caller-driven program, kept for repeats of its request.  */
struct mq_step
{
  uint64_t digest;
  const char *service;
  const char *input;
  const char *body;
  enum mq_error_type error;
  enum mq_ran ran;
};

/* A call that may not be repeated and may have been sent.  */
struct mq_intent
{
  uint32_t call; /* 0: none */
  uint32_t attempt;
  const char *host;
  uint64_t boot;
  uint32_t worker;
};

/**
 * struct mq_program - the logged state of one program
 * @id: its id
 * @parent: program whose call it is, zero when none
 * @parent_call: that call
 * @organisation: who opened it
 * @service: its service
 * @route: MODE_SINGLE: route of a plain service, else empty
 * @mode: who drives it
 * @state: running, waiting, ended
 * @priority: priority class
 * @keep_open: waits for further turns after an answer
 * @follow_up: it answers a person's further turn
 * @digest: of the request that opened it
 * @turn_digest: of the last further turn, 0 when none
 * @traceparent: W3C trace context
 * @budget: what it may spend
 * @messages: history as JSON objects separated by commas
 * @messages_len: bytes of it
 * @message_count: messages in it
 * @input: MODE_SINGLE: body of the call
 * @calls: calls that have ended
 * @turns: calls that count towards the budget, sub-programs' included
 * @spent: tokens charged, sub-programs' included
 * @granted: tokens that may be spent without a further record
 * @elapsed_ms: running time as last recorded
 * @pending: tool calls of the last answer
 * @pending_next: the first of them that has not ended
 * @pending_text: the same as JSON, for checkpoints
 * @last_content: content of the model's last answer
 * @answer_ready: that answer asks for no call, it is the program's
 * @intent: call that may not be repeated and is not settled
 * @steps: MODE_STEPS: calls so far
 * @error: how it ended
 * @ran: whether what ended it took effect
 * @answer: its last answer, NULL before
 * @unreadable: the log does not say how it was opened; it has ended
 */
struct mq_program
{
  struct mq_id id;
  struct mq_id parent;
  uint32_t parent_call;
  const char *organisation;
  const char *service;
  const char *route;
  enum mq_program_mode mode;
  enum mq_program_state state;
  enum mq_priority priority;
  bool keep_open;
  bool follow_up;
  uint64_t digest;
  uint64_t turn_digest;
  const char *traceparent;
  struct mq_budget budget;
  char *messages;
  size_t messages_len;
  size_t messages_capacity;
  uint32_t message_count;
  const char *input;
  uint32_t calls;
  uint32_t turns;
  uint64_t spent;
  uint64_t granted;
  uint64_t elapsed_ms;
  struct mq_tool_call *pending;
  size_t pending_count;
  size_t pending_next;
  char *pending_text;
  char *last_content;
  bool answer_ready;
  struct mq_intent intent;
  struct mq_step *steps;
  size_t step_count;
  enum mq_error_type error;
  enum mq_ran ran;
  char *answer;
  bool unreadable;
};

enum mq_next_type
{
  MQ_NEXT_NONE,  /* waits or has ended */
  MQ_NEXT_MODEL, /* call the service's model */
  MQ_NEXT_CALL,  /* call a tool, plain service or sub-program */
  MQ_NEXT_ANSWER /* the model's last answer is the program's */
};

/* Program below CTX from its OPENED record.  */
struct mq_program *mq_program_open (TALLOC_CTX *ctx, struct mq_id id,
                                    const Mqlog__Opened *opened);
/* Applies any further record of the program.  */
void mq_program_apply (struct mq_program *program,
                       const Mqlog__Record *record);
enum mq_next_type mq_program_next (const struct mq_program *program);
/* The pending tool call, NULL when there is none.  */
const struct mq_tool_call *
mq_program_pending (const struct mq_program *program);
/* JSON body for a model call, below CTX.  */
char *mq_program_model_body (TALLOC_CTX *ctx, const struct mq_program *program,
                             const char *model, uint32_t max_tokens,
                             const char *extra_input);
/* Appends one message to a history: TEXT is JSON-escaped.  */
void mq_program_add_message (struct mq_program *program, const char *role,
                             const char *name, const char *tool_call_id,
                             const char *text);
/* Packs the program for a checkpoint / restores it.  */
Mqlog__Program *mq_program_pack (TALLOC_CTX *ctx,
                                 const struct mq_program *program);
struct mq_program *mq_program_unpack (TALLOC_CTX *ctx,
                                      const Mqlog__Program *packed);
/* History as a JSON object text, below CTX.  */
char *mq_program_history (TALLOC_CTX *ctx, const struct mq_program *program);

#endif
