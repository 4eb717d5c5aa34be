/* engine_faults.h - the fault switches of the stand-in engine.

   POST /standin/fault sets them; docs/ENGINE_MODEL.md lists them.  Pure.
   Needs: jansson, error.h.  */

#ifndef MQ_ENGINE_FAULTS_H
#define MQ_ENGINE_FAULTS_H

#include "core/error.h"
#include <jansson.h>

/* X (enumerator, name, path where none is given)  */
#define MQ_FAULT_LIST(X)                                                      \
  X (HANG, "hang", "/v1/chat/completions")                                    \
  X (SLOW, "slow", "")                                                        \
  X (CRASH_STREAM, "crash_stream", "/v1/chat/completions")                    \
  X (LOST_ANSWER, "lost_answer", "/v1/chat/completions")                      \
  X (REFUSE, "refuse", "/v1/chat/completions")                                \
  X (RESTART, "restart", "")                                                  \
  X (EVICT_FAILS, "evict_fails", "/v1/cache/evict")                           \
  X (EVENTS_GAP, "events_gap", "")                                            \
  X (LOAD_LAG, "load_lag", "")                                                \
  X (STATUS, "status", "/v1/chat/completions")                                \
  X (CLEAR, "clear", "")

enum mq_fault_type
{
#define MQ_FAULT_ENUM(id, name, path) MQ_FAULT_##id,
  MQ_FAULT_LIST (MQ_FAULT_ENUM)
#undef MQ_FAULT_ENUM
      MQ_FAULT_COUNT
};

#define MQ_FAULT_PATH_MAX 64

/**
 * struct mq_fault - one switch
 * @on: it is set
 * @left: how often it still strikes, 0: until it is cleared
 * @value: its number (tokens, seconds, status, …)
 * @path: begin of the paths that it strikes
 */
struct mq_fault
{
  bool on;
  uint32_t left;
  double value;
  char path[MQ_FAULT_PATH_MAX];
};

struct mq_faults
{
  struct mq_fault faults[MQ_FAULT_COUNT];
};

/* Sets the switch that {"fault":NAME,"value":N,"count":N,"path":S} names;
   "clear" unsets all.  MQ_FAULT_COUNT with an error where it names none.  */
enum mq_fault_type mq_faults_set (struct mq_faults *faults,
                                  const json_t *request,
                                  struct mq_error *error);
/* True when a fault of TYPE strikes a request for PATH, which uses up one of
   its count.  VALUE may be NULL.  */
bool mq_faults_strike (struct mq_faults *faults, enum mq_fault_type type,
                       const char *path, double *value);

#endif
