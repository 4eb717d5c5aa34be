/* load_plan.h - the seeded workloads of mimosa-load.

   What callers of each deployment do, as sessions: a program, what it is
   asked, how many calls its chain makes, and the further turns.  The same
   seed gives the same sessions, whatever the system under test does.  No
   input or output.  docs/BENCHMARKS.md describes the mixes.
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

/* Classes of requests; each has a histogram of its own.  */
enum mq_load_class
{
  MQ_LOAD_URGENT,      /* someone waits at the window or the desk */
  MQ_LOAD_INTERACTIVE, /* letters and first turns of onboardings */
  MQ_LOAD_FOLLOW_UP,   /* further turns of either */
  MQ_LOAD_BATCH,       /* the nightly letters */
  MQ_LOAD_ENDLESS,     /* programs that only a budget ends */
  MQ_LOAD_CLASSES
};

const char *mq_load_class_name (enum mq_load_class kind);
const char *mq_load_workload_name (enum mq_load_workload workload);
bool mq_load_workload_find (const char *name, enum mq_load_workload *workload);

/**
 * struct mq_load_turn - one request of a session and what it must give
 * @kind: class that it counts in
 * @pause_us: model time between the answer before it and this request
 * @due_us: model time after which the answer is late, 0: none
 * @stream: asked for as server-sent events
 * @input: the person's text, with the stand-in model's plan
 * @messages: messages that the model sees before its last answer
 * @work_us: engine time that it needs, see mq_load_plan_mean_work
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
 * struct mq_load_session - one program from its opening to its end
 * @number: of the session in its plan, from 0; letters have their own
 * @start_us: model time at which it is opened; batch: 0
 * @service: agent service
 * @key: key of the organisation that opens it
 * @keep_open: it waits for further turns
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
 * struct mq_load_options - what is asked of a plan
 * @workload: whose callers
 * @seed: of everything that is drawn
 * @slots: calls that an engine runs side by side
 * @per_second: sessions opened in a second of model time
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
/* The next session by time of opening, below CTX.  */
struct mq_load_session *mq_load_plan_next (struct mq_load_plan *plan,
                                           TALLOC_CTX *ctx);
/* The next letter of the nightly batch, below CTX.  */
struct mq_load_session *mq_load_plan_next_letter (struct mq_load_plan *plan,
                                                  TALLOC_CTX *ctx);
/* Engine time in microseconds of a mean session, or letter of the batch:
   every token of its prompts computed once, every answer generated in an
   engine whose slots are all in use.  */
double mq_load_plan_mean_work (const struct mq_load_options *options,
                               bool batch);
/* Paths of services and tools whose calls may not be repeated; NULL ends.  */
const char *const *
mq_load_non_idempotent_paths (enum mq_load_workload workload);

#endif
