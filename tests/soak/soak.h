/* soak.h - state of the fault soak: router processes, stand-ins, and what
   callers and workers observed.

   Needs: proxy.h, rows_server.h, worker_server.h, http_conn.h.  */

#ifndef SOAK_H
#define SOAK_H

#include "../../platform/standins/rows_server.h"
#include "../../platform/standins/worker_server.h"
#include "core/id.h"
#include "net/buffer.h"
#include "net/http_conn.h"
#include "net/timer.h"
#include "proxy.h"
#include <sys/types.h>

#define HOSTS_MAX 256
#define WORKERS 4
#define RECORDS_MAX 200000
#define PROGRAMS_MAX 32
/* Tokens of a turn: four events of two tokens.  */
#define TURN_TOKENS_MAX 8U

/* Time for a new process to install its signal handlers; until then any signal
   terminates it.  */
#define SIGNAL_GRACE_MS 300U

/* A router process.  */
struct host
{
  pid_t pid; /* 0: not running */
  bool paused;
  bool restarts;
  uint64_t started_ms;
  char name[32];
  char *settings;
  uint16_t http;
  uint16_t ready;
  uint16_t peer;
  struct proxy *table;
};

enum kind
{
  KIND_CALL, /* may be retried */
  KIND_NON_IDEMPOTENT,
  KIND_TURN,    /* a resumable stream */
  KIND_RETAINED /* a retained stream that may not be retried */
};

/* One attempt of a caller: how often it ran, and whether it was refused.  */
struct record
{
  uint32_t program;
  uint8_t kind;
  uint8_t runs;
  bool refused;
};

/**
 * struct program - one agent program and its caller
 * @limit: token budget
 * @tokens_received: tokens received by the caller
 * @turns: remaining turns
 * @attempts: attempts of the current step
 * @attempt: request id of the current attempt
 * @input: input of the current turn
 * @previous: id of the last completed turn
 * @history: inputs and answers so far, for a retained program
 */
struct program
{
  struct soak *soak;
  uint32_t index;
  char id[32];
  bool active;
  bool retained;
  bool loops;
  uint64_t limit;
  uint64_t tokens_received;
  int turns;
  int attempts;
  uint32_t attempt;
  enum kind kind;
  char input[32];
  char previous[32];
  struct mq_buffer history;
  struct mq_http_conn *lane;
  struct mq_timer *timer;
  struct mq_timer *response_timer;
  int host;
  int status;
  uint32_t retry_ms;
  bool reused;
  struct mq_buffer body;
};

struct soak
{
  struct tevent_context *ev;
  uint64_t random;
  uint64_t seed;
  const char *binary;
  const char *plant;
  char directory[64];
  int host_count;
  struct host hosts[HOSTS_MAX];
  struct rows_server *rows;
  struct worker_server *llm[WORKERS];
  struct worker_server *app[WORKERS];
  struct proxy *llm_proxy[WORKERS];
  struct proxy *app_proxy[WORKERS];
  struct worker_plan llm_plan;
  struct worker_plan app_plan;
  int config_version;
  struct program programs[PROGRAMS_MAX];
  int program_count;
  uint32_t program_ids;
  struct record *records;
  uint32_t record_count;
  bool faults;
  int failures;
  uint32_t finished;
  uint32_t failed;
  uint32_t budget_exhausted;
  uint32_t answers;
  uint32_t refusals;
  uint32_t aborted;
  uint32_t injected;
};

/* Reports a violation.  */
void soak_fail (struct soak *soak, const char *what, const char *subject);
uint32_t soak_random_below (struct soak *soak, uint32_t bound);

/* soak_site.c */
void soak_create_site (struct soak *soak);
void soak_start_host (struct soak *soak, int index);
/* Restarts hosts that have exited; reports a crash as a violation.  */
void soak_watch_hosts (struct soak *soak);
void soak_kill_hosts (struct soak *soak);
void soak_write_config (struct soak *soak);
void soak_register_worker (struct soak *soak, bool llm, int index,
                           const char *state);
/* Injects a random fault; most faults end by themselves.  */
void soak_inject (struct soak *soak);
/* Ends all faults.  */
void soak_end_faults (struct soak *soak);

/* soak_caller.c */
void soak_start_program (struct soak *soak, int index);
/* Called when a worker runs a request.  */
void soak_on_worker_request (const char *id, const char *target,
                             const char *body, void *user);

#endif
