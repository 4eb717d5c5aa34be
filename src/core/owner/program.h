/* program.h - state of one program: history, budget and next call.

   A program is a conversation or task made of model and tool calls.  Its
   state changes only by applying records of the partition log, so that
   replaying the log restores it.  State that is not logged (attempts in
   progress, waiting callers) is kept by the owner in struct running.
   Needs: text.h, types.h, jansson, proto/log.pb-c.h.  */

#ifndef MQ_PROGRAM_H
#define MQ_PROGRAM_H

#include "../../../proto/log.pb-c.h"
#include "../text/text.h"

enum mq_program_mode
{
  MQ_MODE_CHAIN, /* the owner makes the calls requested by the model */
  MQ_MODE_STEPS, /* the caller requests each call */
  MQ_MODE_SINGLE /* a single call of a model, plain service or tool */
};

enum mq_program_state
{
  MQ_PROGRAM_RUNNING,
  MQ_PROGRAM_WAITING, /* for the next turn, or the caller's next STEP */
  MQ_PROGRAM_ENDED
};

/* A tool call requested by the model's last answer.  */
struct mq_tool_call
{
  const char *id;
  const char *name;
  const char *arguments;
};

/* A finished call of a MODE_STEPS program; answers repeated requests.  */
struct mq_step
{
  uint64_t digest;
  const char *service;
  const char *input;
  const char *body;
  enum mq_error_type error;
  enum mq_ran ran;
};

/* A non-idempotent call that may have been sent.  */
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
 * @parent: program that opened it as a sub-program, zero: opened by a caller
 * @parent_call: number of the call of @parent
 * @organisation: organisation of the caller
 * @route: MODE_SINGLE: route of a plain service, else empty
 * @keep_open: accepts further turns after an answer
 * @follow_up: it answers a further turn
 * @digest: of the request that opened it
 * @turn_digest: of the last further turn, 0: none
 * @traceparent: W3C trace context
 * @messages: history as comma-separated JSON objects, NULL: empty
 * @messages_len: bytes of @messages without the final NUL
 * @input: MODE_SINGLE: body of the call
 * @calls: number of calls that have ended
 * @turns: calls that count towards the budget, including sub-programs'
 * @spent: tokens charged, including sub-programs'
 * @granted: total tokens that may be spent before a further GRANTED record
 * @elapsed_ms: running time as of the last record
 * @pending: tool calls requested by the last answer
 * @pending_next: index of the first one that has not ended
 * @pending_text: @pending as JSON, for checkpoints
 * @last_content: content of the model's last answer
 * @answer_ready: @last_content is the program's answer
 * @intent: non-idempotent call without an outcome
 * @steps: MODE_STEPS: calls that have ended
 * @ran: whether the call that ended it with @error took effect
 * @answer: its last answer, NULL: none yet
 * @unreadable: the log or checkpoint lacks a valid OPENED; it has ended
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
  MQ_NEXT_NONE,  /* program waits or has ended */
  MQ_NEXT_MODEL, /* call the service's model */
  MQ_NEXT_CALL,  /* call a tool, plain service or sub-program */
  MQ_NEXT_ANSWER /* end with the model's last answer */
};

/* Creates a program from its OPENED record, allocated below CTX.  */
struct mq_program *mq_program_open (TALLOC_CTX *ctx, struct mq_id id,
                                    const Mqlog__Opened *opened);
/* Applies a record that follows OPENED.  */
void mq_program_apply (struct mq_program *program,
                       const Mqlog__Record *record);
enum mq_next_type mq_program_next (const struct mq_program *program);
/* The next pending tool call, NULL: none.  */
const struct mq_tool_call *
mq_program_pending (const struct mq_program *program);
/* JSON body of a model call with the history, allocated below CTX.
   EXTRA_INPUT: user message to append, or NULL.  */
char *mq_program_model_body (TALLOC_CTX *ctx, const struct mq_program *program,
                             const char *model, uint32_t max_tokens,
                             const char *extra_input);
/* Appends a message to the history and JSON-escapes its text.  NAME and
   TOOL_CALL_ID may be NULL.  */
void mq_program_add_message (struct mq_program *program, const char *role,
                             const char *name, const char *tool_call_id,
                             const char *text);
/* Packs a program for a checkpoint.  The result is allocated below CTX and
   borrows strings of PROGRAM.  */
Mqlog__Program *mq_program_pack (TALLOC_CTX *ctx,
                                 const struct mq_program *program);
/* Restores a program from a checkpoint, allocated below CTX.  */
struct mq_program *mq_program_unpack (TALLOC_CTX *ctx,
                                      const Mqlog__Program *packed);
/* History as a JSON object, allocated below CTX.  */
char *mq_program_history (TALLOC_CTX *ctx, const struct mq_program *program);

#endif
