/* load_plan.h - seeded workload generator of mimosa-load.

   A workload is a sequence of sessions.  A session is one program: its input,
   the calls of its chain and its further turns.  Sessions depend on the seed
   only, not on the system under test.  The generator does no input or output.
   docs/BENCHMARKS.md describes the workloads.
   Needs: id.h, jansson.  */

#ifndef MQ_LOAD_PLAN_H
#define MQ_LOAD_PLAN_H

#include "core/types.h"

#define MQ_LOAD_TURNS_MAX 6U

enum mq_load_workload
{
  MQ_LOAD_DIAGNE,
  MQ_LOAD_ZARQA,
  MQ_LOAD_WORKLOADS
};

/* Request classes; each has its own latency histogram.  */
enum mq_load_class
{
  MQ_LOAD_URGENT,      /* a person waits for the answer */
  MQ_LOAD_INTERACTIVE, /* letters; first turns of onboardings */
  MQ_LOAD_FOLLOW_UP,   /* further turns of urgent and interactive */
  MQ_LOAD_BATCH,       /* nightly letters */
  MQ_LOAD_ENDLESS,     /* programs that loop until their budget ends */
  MQ_LOAD_CLASSES
};

const char *mq_load_class_name (enum mq_load_class kind);
const char *mq_load_workload_name (enum mq_load_workload workload);
bool mq_load_workload_find (const char *name, enum mq_load_workload *workload);

/**
 * struct mq_load_turn - one request of a session
 * @kind: request class
 * @pause_us: model time between the previous answer and this request
 * @due_us: deadline after the request, model time; 0 for none
 * @stream: request server-sent events
 * @input: the user's text, followed by the stand-in model's plan
 * @messages: number of messages in the prompt of the last answer
 * @work_us: engine time required, see mq_load_plan_mean_work
 */
struct mq_load_turn
{
  enum mq_load_class kind;
  uint64_t pause_us;
  uint64_t due_us;
  bool stream;
  char *input;
  uint32_t messages;
  double work_us;
};

/**
 * struct mq_load_session - one program and its turns
 * @number: sequence number from 0; batch letters are numbered separately
 * @start_us: opening time, model time; 0 for batch letters
 * @service: agent service
 * @key: API key of the organisation
 * @keep_open: the program stays open for further turns
 * @turns: the opening request, then further turns
 */
struct mq_load_session
{
  uint64_t number;
  uint64_t start_us;
  const char *service;
  const char *key;
  bool keep_open;
  uint32_t turn_count;
  struct mq_load_turn turns[MQ_LOAD_TURNS_MAX];
};

/**
 * struct mq_load_options - parameters of a plan
 * @slots: concurrent calls of one engine
 * @per_second: sessions opened per second of model time
 */
struct mq_load_options
{
  enum mq_load_workload workload;
  uint64_t seed;
  uint32_t slots;
  double per_second;
};

struct mq_load_plan;

struct mq_load_plan *mq_load_plan_create (TALLOC_CTX *ctx,
                                          const struct mq_load_options *plan);
/* Returns the next session by opening time, a child of CTX.  */
struct mq_load_session *mq_load_plan_next (struct mq_load_plan *plan,
                                           TALLOC_CTX *ctx);
/* Returns the next letter of the nightly batch, a child of CTX.  */
struct mq_load_session *mq_load_plan_next_letter (struct mq_load_plan *plan,
                                                  TALLOC_CTX *ctx);
/* Mean engine time of a session, or of a batch letter, in microseconds.
   Assumes that each prompt token is computed once and that all slots are busy.
 */
double mq_load_plan_mean_work (const struct mq_load_options *options,
                               bool batch);
/* NULL-terminated paths of services and tools with non-idempotent calls.  */
const char *const *
mq_load_non_idempotent_paths (enum mq_load_workload workload);

#endif
