/* gate_driver.h - runs table-driven steps against a gate and formats the
   actions of each step as one line of text.

   Fields of a step that are zero default to program 1, call 1, attempt 1,
   fence 1, peer 1, worker 0 and the current boot id.  Actions are formatted as
   follows and joined by "; ":

     start P/C.A wW           stop P/C.A           evict wW P
     order wW ID ARGUMENT     state CHANGE
     outcome@PEER P/C.A fF ERROR RAN [recovered] [retry] [=BODY]
     token@PEER P/C.A fF [INDEX] TEXT
     sealed@PEER P/C.A fF ANSWER
     recovered@PEER fF P/C.A ...
     evicted@PEER P           ordered@PEER ID ERROR
     probed@PEER wW PROGRAM SHARED
     load@PEER [leaving] RUNNING+QUEUED/SLOTS ...

   LOAD messages are included only in steps that set LOADS; spans never are.
   Needs: gate.h.  */

#ifndef GATE_DRIVER_H
#define GATE_DRIVER_H

#include "core/gate/gate.h"

enum gate_step_type
{
  STEP_NONE, /* ends a table */
  STEP_CALL,
  STEP_CANCEL,
  STEP_SEAL,
  STEP_RECOVER,
  STEP_FORGET,
  STEP_LEASE,
  STEP_ORDER,
  STEP_PROBE,
  STEP_UNHANDLED, /* a message that the gate does not handle */
  STEP_TOKEN,     /* for the run of call/attempt */
  STEP_DONE,      /* for the run of call/attempt */
  STEP_EVICTED,
  STEP_CACHE,
  STEP_UP,
  STEP_DOWN,
  STEP_ORDERED,
  STEP_LEAVE,
  STEP_PEER_UP,
  STEP_PEER_DOWN,
  STEP_WAIT,  /* advance by .ms, then tick */
  STEP_PAUSE, /* advance by .ms without a tick */
  STEP_REBOOT /* restart with another boot id */
};

struct gate_step
{
  enum gate_step_type type;
  uint32_t program;
  uint32_t call;
  uint32_t attempt;
  uint64_t fence;
  uint32_t peer;
  uint32_t worker;
  bool idempotent;
  bool no_boot;  /* CALL carries boot 0 */
  bool old_boot; /* CALL carries the first gate's boot id */
  uint64_t boot; /* UP: boot number of the engine */
  enum mq_priority priority;
  uint32_t deadline_ms;
  uint64_t attained;
  bool continuing;
  bool follow_up;
  const char *organisation;
  const char *service; /* CALL: NULL selects the worker's service */
  const char *body;
  enum mq_error_type error;
  enum mq_ran ran;
  uint32_t tokens_in;
  uint32_t tokens_out;
  uint32_t cached;
  enum mq_lease_state lease;
  uint32_t ms; /* lease, wait, pause */
  bool failed; /* EVICTED */
  uint64_t id; /* order, probe */
  enum mq_order_type order;
  uint64_t prefix;
  struct mq_gate_cache_entry entries[3]; /* CACHE: .hi is the program */
  bool loads;
  const char *want; /* NULL: not compared */
};

struct gate_driver
{
  struct mq_gate *gate;
  struct mq_actions *actions;
  struct mq_gate_options options;
  uint64_t first_boot;
  uint64_t now_us;
  struct mq_start starts[512]; /* since the last reboot; strings are freed */
  size_t start_count;
  char *text; /* actions of the last step, formatted */
};

/* Creates a gate with peers 1 to 3 connected.  If OPTIONS is NULL, it has a
   model worker "m" and a plain worker "p" with one slot each.  */
struct gate_driver *gate_driver_create (const struct mq_gate_options *options);
void gate_driver_destroy (struct gate_driver *driver);
/* Runs STEP.  Returns its actions as text, valid until the next step.  */
const char *gate_driver_step (struct gate_driver *driver,
                              const struct gate_step *step);
struct mq_id gate_driver_program (uint32_t number);

#endif
